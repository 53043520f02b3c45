/**
 * @file
 * Reads the store's prefixes for a snapshot_mirror: from the store, or from the node that reads for this zone.
 */
#pragma once

#include "base/random.h"
#include "edge/edge_context.h"
#include "fleet/dated_snapshot.h"
#include "fleet/store_router.h"

#include <functional>
#include <optional>
#include <string>

namespace reedtrail {

/** Satisfies snapshot_source. */
class peer_snapshot_source
{
public:
    /**
     * @param router knows the zone's reader
     * @param peerClient connects to other nodes
     * @param settings its seeds are asked, one at random, until other nodes are known
     * @param outages records the contacts with the store that replies show
     * @param randomSeed of the choice of a seed
     */
    peer_snapshot_source(asio_loop &loop,
                         edge_store &store,
                         store_router &router,
                         http_client &peerClient,
                         const edge_settings &settings,
                         outage_tracker &outages,
                         std::uint64_t randomSeed)
        : m_loop(loop)
        , m_store(store)
        , m_router(router)
        , m_peerClient(peerClient)
        , m_settings(settings)
        , m_outages(outages)
        , m_random(randomSeed)
    {
    }

    /** Reads all keys that begin with @p prefix, or the one key that equals it, from the store. */
    void list(const std::string &prefix, bool isPrefix, std::function<void(const store_range_answer &)> onListing);
    /** Reads the changes of keys that begin with @p prefix after a revision from the store. */
    void changes(const std::string &prefix, store_revision after, std::function<void(const store_change_answer &)> onChanges);
    /** Returns the name of the node that reads for this zone, or the address of a seed; nothing if this node reads for its zone. */
    std::optional<std::string> reader();
    /** Asks the node @p reader. @param onReply called with nothing if it does not reply or cannot answer */
    void ask(const std::string &reader, const snapshot_query &query, std::function<void(const std::optional<snapshot_reply> &)> onReply);
    /** Passes @p reader over for a while. */
    void recordReaderFailure(const std::string &reader);
    void recordReaderSuccess(const std::string &reader);

private:
    std::optional<endpoint> addressOf(const std::string &reader) const;

    asio_loop &m_loop;
    edge_store &m_store;
    store_router &m_router;
    http_client &m_peerClient;
    const edge_settings &m_settings;
    outage_tracker &m_outages;
    random_source m_random;
};

} // namespace reedtrail
