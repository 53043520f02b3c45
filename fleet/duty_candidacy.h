/**
 * @file
 * Decides whether a node competes for a duty. Makes no I/O calls.
 *
 * Load pattern: a duty needs one holder in a fleet of hundreds of nodes, and each candidate follows the duty's keys in the store. So only the first few nodes
 * of each zone compete. The others look at the duty now and then through their zone's reader, and compete once it has been without a holder for so long that
 * the candidates must have failed together.
 *
 *     if (candidacy.setNodes(peers, self)) { ... compete ... }
 *     if (candidacy.recordObservation(now, isHeld)) { ... compete ... }
 */
#pragma once

#include "base/time.h"
#include "fleet/node_ranking.h"

#include <optional>
#include <string>
#include <utility>

namespace reedtrail {

/** Number of candidates and times of a duty_candidacy. */
struct duty_candidacy_options
{
    std::size_t candidatesPerZone = 3; ///< The loss of a zone and of two nodes in each other zone leaves candidates.
    duration patience = std::chrono::seconds(6); ///< A takeover among candidates takes less: 2 s for the lease to lapse, 1.1 s to claim, and one retry.
    duration checkInterval = std::chrono::seconds(4); ///< Between two looks of a node that does not compete.
};

/** Candidacy of one node for one duty. A node that has begun to compete goes on until it stops. */
class duty_candidacy
{
public:
    explicit duty_candidacy(duty_candidacy_options options = {})
        : m_options(options)
    {
    }

    /**
     * Takes the list of known nodes.
     * @param nodes by name, with this node; as for rankNodesByZone()
     * @return whether this node begins to compete now
     */
    template<class Nodes>
    bool setNodes(const Nodes &nodes, const std::string &self)
    {
        const auto zones = rankNodesByZone(nodes);
        const auto &names = zones.at(nodes.find(self)->second.zone);
        const auto end = names.begin() + static_cast<std::ptrdiff_t>(std::min(names.size(), m_options.candidatesPerZone));
        return std::find(names.begin(), end, self) != end && begin();
    }

    /**
     * Takes what the store says of the duty.
     * @param isHeld whether it names a holder
     * @return whether this node begins to compete now
     */
    bool recordObservation(time_point now, bool isHeld)
    {
        if (isHeld) {
            m_freeSince.reset();
            return false;
        }
        m_freeSince = m_freeSince.value_or(now);
        return now - *m_freeSince >= m_options.patience && begin();
    }

    bool isCompeting() const
    {
        return m_isCompeting;
    }
    const duty_candidacy_options &options() const
    {
        return m_options;
    }

private:
    bool begin()
    {
        return !std::exchange(m_isCompeting, true);
    }

    duty_candidacy_options m_options;
    std::optional<time_point> m_freeSince; ///< First of the observations in a row without a holder.
    bool m_isCompeting = false;
};

} // namespace reedtrail
