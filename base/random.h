/**
 * @file
 * Seeded random numbers, the only ones in the core: one seed gives one run.
 *
 *     random_source random(7);
 *     double jitter = random.uniform(0.5, 1.5);
 */
#pragma once

#include <cmath>
#include <cstdint>

namespace reedtrail {

/** A small, fast generator (SplitMix64). Not for secrets. Copies go on independently from the same state. */
class random_source
{
public:
    explicit random_source(std::uint64_t seed)
        : m_state(seed)
    {
    }

    /** Returns 64 random bits. */
    std::uint64_t next()
    {
        m_state += 0x9E3779B97F4A7C15U;
        std::uint64_t bits = m_state;
        bits = (bits ^ (bits >> 30U)) * 0xBF58476D1CE4E5B9U;
        bits = (bits ^ (bits >> 27U)) * 0x94D049BB133111EBU;
        return bits ^ (bits >> 31U);
    }
    /** Returns a number in [0, @p bound), or 0 if @p bound is 0. */
    std::uint64_t below(std::uint64_t bound)
    {
        return bound == 0 ? 0 : next() % bound;
    }
    /** Returns a number in [0, 1). */
    double unit()
    {
        return static_cast<double>(next() >> 11U) * 0x1.0p-53;
    }
    /** Returns a number in [@p low, @p high). */
    double uniform(double low, double high)
    {
        return low + (high - low) * unit();
    }
    /** Tells true with probability @p chance. */
    bool chance(double chance)
    {
        return unit() < chance;
    }
    /** Returns a number from the exponential distribution with mean @p mean. */
    double exponential(double mean)
    {
        return -mean * std::log(1.0 - unit());
    }
    /** Returns a number from the normal distribution with mean 0 and deviation 1 (Box-Muller). */
    double normal()
    {
        return std::sqrt(-2.0 * std::log(1.0 - unit())) * std::cos(2.0 * 3.14159265358979323846 * unit());
    }
    /** Returns a lognormal number with median @p median and shape @p sigma. */
    double lognormal(double median, double sigma)
    {
        return median * std::exp(sigma * normal());
    }
    /** Returns a source for a part of the run, independent of how much this one is used afterwards. */
    random_source fork()
    {
        return random_source(next());
    }

private:
    std::uint64_t m_state;
};

} // namespace reedtrail
