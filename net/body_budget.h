/**
 * @file
 * Bounds the bytes of all requests, heads and bodies, that a server holds at once. Makes no I/O calls.
 *
 * Large requests share most of the budget, small ones the rest, so that neither kind keeps the other out; the last part of the rest is for tiny ones. One large
 * request always fits, whatever the budget is: the limit for each body is the caller's to set.
 *
 *     body_charge charge(budget);
 *     if (!charge.raiseTo(contentLength)) { ... refuse ... }      // released when the charge is destroyed
 */
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace reedtrail {

/** The bytes held of one server. */
class body_budget
{
public:
    static constexpr std::size_t largestTinyRequest = 8U << 10U;
    static constexpr std::size_t largestSmallRequest = 160U << 10U; ///< A body of 64 KB, and some copies of a head of 16 KB.
    static constexpr std::size_t smallShare = 4; ///< One part in this many is kept for small requests.
    static constexpr std::size_t tinyShare = 4; ///< One part in this many of that is kept for tiny requests.

    explicit body_budget(std::size_t bytes)
        : m_smallLimit(bytes / smallShare)
        , m_largeLimit(bytes - bytes / smallShare)
    {
    }

    std::size_t held() const
    {
        return m_small + m_large;
    }

private:
    friend class body_charge;

    bool isAdmitted(std::size_t before, std::size_t bytes) const
    {
        if (bytes <= largestSmallRequest) {
            return m_small - before + bytes <= smallLimitFor(bytes);
        }
        const std::size_t others = m_large - (before > largestSmallRequest ? before : 0);
        return others == 0 || (bytes <= m_largeLimit && others <= m_largeLimit - bytes);
    }
    /** Returns how many bytes others must release so that a body may be raised from @p before to @p bytes. */
    std::size_t lackingFor(std::size_t before, std::size_t bytes) const
    {
        if (isAdmitted(before, bytes)) {
            return 0;
        }
        if (bytes <= largestSmallRequest) {
            return m_small - before + bytes - smallLimitFor(bytes);
        }
        const std::size_t others = m_large - (before > largestSmallRequest ? before : 0);
        return bytes > m_largeLimit ? others : others + bytes - m_largeLimit;
    }
    std::size_t smallLimitFor(std::size_t bytes) const
    {
        return bytes <= largestTinyRequest ? m_smallLimit : m_smallLimit - m_smallLimit / tinyShare;
    }
    std::size_t &heldOf(std::size_t bytes)
    {
        return bytes <= largestSmallRequest ? m_small : m_large;
    }

    std::size_t m_smallLimit;
    std::size_t m_largeLimit;
    std::size_t m_small = 0;
    std::size_t m_large = 0;
};

/** The part of a budget that one body takes. */
class body_charge
{
public:
    explicit body_charge(std::shared_ptr<body_budget> budget)
        : m_budget(std::move(budget))
    {
    }
    body_charge(body_charge &&other) noexcept
        : m_budget(other.m_budget) // The moved one may be charged again.
        , m_bytes(std::exchange(other.m_bytes, 0))
    {
    }
    body_charge(const body_charge &) = delete;
    body_charge &operator=(const body_charge &) = delete;
    body_charge &operator=(body_charge &&) = delete;
    ~body_charge()
    {
        release();
    }

    std::size_t bytes() const
    {
        return m_bytes;
    }
    /** Returns how many bytes others must release so that the charge may be raised to @p bytes. */
    std::size_t lackingFor(std::size_t bytes) const
    {
        return bytes <= m_bytes ? 0 : m_budget->lackingFor(m_bytes, bytes);
    }
    /** Raises the charge to @p bytes in all. @return whether the budget allows it; otherwise the charge stays as it is */
    bool raiseTo(std::size_t bytes)
    {
        if (bytes <= m_bytes) {
            return true;
        }
        if (!m_budget->isAdmitted(m_bytes, bytes)) {
            return false;
        }
        m_budget->heldOf(m_bytes) -= m_bytes;
        m_bytes = bytes;
        m_budget->heldOf(m_bytes) += m_bytes;
        return true;
    }
    /** Gives the whole charge back. */
    void release()
    {
        if (m_bytes > 0) {
            m_budget->heldOf(m_bytes) -= m_bytes;
            m_bytes = 0;
        }
    }

private:
    std::shared_ptr<body_budget> m_budget;
    std::size_t m_bytes = 0;
};

} // namespace reedtrail
