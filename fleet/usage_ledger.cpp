// Rows of one origin are numbered without gaps, so an asker names one number for each origin and gets exactly what it lacks, from whichever node holds it.

#include "fleet/usage_ledger.h"

#include <algorithm>

namespace reedtrail {

void usage_ledger::append(time_point now, origin_rows &list, row added)
{
    added.keptUntil = now + m_options.retention;
    list.rows.push_back(std::move(added));
    if (list.rows.size() > m_options.maxRows) {
        list.rows.pop_front();
        ++list.firstNumber;
        ++m_dropped;
    }
}

void usage_ledger::record(time_point now, const std::string &customer, time_point beganAt)
{
    append(now, m_origins[m_origin], { customer, beganAt, {} });
}

void usage_ledger::take(time_point now, const usage_answer &given)
{
    for (const usage_batch &batch : given.batches) {
        if (batch.origin == m_origin || batch.rows.size() != batch.agesMs.size()) {
            continue;
        }
        if (!m_origins.contains(batch.origin) && m_origins.size() >= m_options.maxOrigins) {
            m_dropped += batch.rows.size();
            continue;
        }
        origin_rows &list = m_origins[batch.origin];
        if (list.rows.empty()) {
            list.firstNumber = std::max(list.firstNumber, batch.firstNumber);
        }
        for (std::size_t i = 0; i < batch.rows.size(); ++i) {
            const bool isNext = batch.firstNumber + i == list.firstNumber + list.rows.size();
            if (isNext && batch.rows[i] < batch.customers.size()) {
                append(now, list, { batch.customers[batch.rows[i]], now - std::chrono::milliseconds(batch.agesMs[i]), {} });
            }
        }
    }
}

usage_answer usage_ledger::answer(time_point now, const usage_ask &ask)
{
    prune(now);
    usage_answer answered;
    for (const auto &[origin, list] : m_origins) {
        const auto known = ask.known.find(origin);
        const std::uint64_t end = list.firstNumber + list.rows.size();
        const std::uint64_t from = std::clamp(known == ask.known.end() ? 0 : known->second, list.firstNumber, end);
        if (from == end) {
            continue;
        }
        usage_batch batch;
        batch.origin = origin;
        batch.firstNumber = from;
        for (std::uint64_t number = from; number < end; ++number) {
            const row &each = list.rows[number - list.firstNumber];
            const auto found = std::ranges::find(batch.customers, each.customer);
            batch.rows.push_back(static_cast<std::uint32_t>(found - batch.customers.begin()));
            if (found == batch.customers.end()) {
                batch.customers.push_back(each.customer);
            }
            batch.agesMs.push_back((now - each.beganAt) / std::chrono::milliseconds(1));
        }
        answered.batches.push_back(std::move(batch));
    }
    return answered;
}

void usage_ledger::prune(time_point now)
{
    for (auto &[origin, list] : m_origins) {
        while (!list.rows.empty() && list.rows.front().keptUntil <= now) {
            list.rows.pop_front();
            ++list.firstNumber;
        }
    }
    std::erase_if(m_origins, [this](const auto &each) {
        return each.second.rows.empty() && each.first != m_origin; // The numbers of this process go on.
    });
}

std::size_t usage_ledger::size() const
{
    std::size_t rows = 0;
    for (const auto &[origin, list] : m_origins) {
        rows += list.rows.size();
    }
    return rows;
}

} // namespace reedtrail
