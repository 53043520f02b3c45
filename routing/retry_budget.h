/**
 * @file
 * A budget for retries that is a share of the successes, so that retries cannot multiply the load of a pool that fails.
 *
 *     retry_budget budget(0.08, 10);
 *     budget.onSuccess();
 *     if (budget.tryConsume()) { ... send again ... }
 */
#pragma once

#include <algorithm>

namespace reedtrail {

/** The budget of one pool on one gate. */
class retry_budget
{
public:
    /** @param share retries earned by a success @param reserve most retries saved up, and those there at the start */
    retry_budget(double share, double reserve)
        : m_share(share)
        , m_reserve(reserve)
        , m_balance(reserve)
    {
    }
    void onSuccess()
    {
        m_balance = std::min(m_reserve, m_balance + m_share);
    }
    /** Takes one retry. @return false if there is none left */
    bool tryConsume()
    {
        if (m_balance < 1) {
            return false;
        }
        m_balance -= 1;
        return true;
    }
    double balance() const
    {
        return m_balance;
    }

private:
    double m_share;
    double m_reserve;
    double m_balance;
};

} // namespace reedtrail
