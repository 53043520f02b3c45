/**
 * @file
 * Retry budget proportional to the number of successes, so that retries cannot multiply the load on a failing pool.
 *
 *     retry_budget budget(0.08, 10);
 *     budget.onSuccess();
 *     if (budget.tryConsume()) { ... send again ... }
 */
#pragma once

#include <algorithm>

namespace reedtrail {

/** Retry budget of one pool on one gate. */
class retry_budget
{
public:
    /** @param share retries added per success @param reserve upper bound of the balance, and its initial value */
    retry_budget(double share, double reserve)
        : m_share(share)
        , m_reserve(reserve)
        , m_balance(reserve)
    {
    }
    /** Adds to the budget for one successful request. */
    void onSuccess()
    {
        m_balance = std::min(m_reserve, m_balance + m_share);
    }
    /** Consumes one retry. @return false if the balance is below one */
    bool tryConsume()
    {
        if (m_balance < 1) {
            return false;
        }
        m_balance -= 1;
        return true;
    }
    /** Returns the number of retries left. */
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
