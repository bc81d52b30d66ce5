#pragma once

#include "base/clock.h"
#include "control/peer_transport.h"
#include "control/row_replica.h"

#include <functional>
#include <map>
#include <vector>

namespace heatherdrift {

/// Keeps this node's replica of the stored rows equal to its neighbours' (gossip with anti-entropy). New rows are
/// offered to all neighbours, which pull the missing ones and offer them in turn. Lease messages carry digests that
/// detect lost rows; if digests keep differing, the replicas are reconciled by comparing bucket hashes.
class replica_sync {
public:
    struct hooks {
        clock_function now;
        /// Called once for each change, with the rows that got a newer version.
        std::function<void(const std::vector<stored_row>&)> changed;
    };

    replica_sync(peer_transport&, hooks);

    /// Neighbours are the witnesses of this instance, the instances that it witnesses, and one instance in each other
    /// region.
    void setNeighbours(std::vector<peer_address>);

    /// Adds rows that were read from or written to the store.
    void add(const std::vector<stored_row>&);
    const row_replica& rows() const { return m_rows; }
    /// Sets the configuration version in force at this node, which is part of the digest.
    void setConfigurationVersion(std::int64_t version) { m_configurationVersion = version; }
    wire::Digest digest() const;

    /// Handles a digest from a message of the peer.
    void onDigest(const peer_address& from, const wire::Digest&);
    /// Returns whether this class handles messages of this kind.
    bool onMessage(const peer_address& from, const wire::Message&);

private:
    void onOffer(const peer_address& from, const wire::Offer&);
    void onPull(const peer_address& from, const wire::Pull&);
    void onUpdate(const peer_address& from, const wire::Update&);
    void onCompare(const peer_address& from, const wire::Compare&);
    void merge(const std::vector<stored_row>&, const instance_ref* source);
    void offer(const peer_address& to, const std::vector<row_key>&);
    void compare(const peer_address& to, const std::string& table);

    peer_transport& m_transport;
    hooks m_hooks;
    row_replica m_rows;
    std::vector<peer_address> m_neighbours;
    std::int64_t m_configurationVersion = 0;
    /// Pending pulls by row, with the requested version and the deadline; a row that several neighbours offer is pulled
    /// only once.
    std::map<row_key, std::pair<row_version, time_point>> m_pulls;
    std::map<std::pair<instance_ref, std::string>, time_point> m_nextCompare;
    std::map<instance_ref, time_point> m_differsSince;
};

} // namespace heatherdrift
