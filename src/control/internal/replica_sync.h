#pragma once

#include "base/clock.h"
#include "control/peer_transport.h"
#include "control/row_replica.h"

#include <functional>
#include <map>
#include <vector>

namespace heatherdrift {

/// Keeps this node's replica of the stored rows equal to its neighbours'. New rows are offered to all neighbours, which
/// pull what they lack and offer it on; equal digests in the renewals prove that nothing was lost, and a difference
/// that lasts is settled by comparing bucket hashes.
class replica_sync {
public:
    struct hooks {
        clock_function now;
        /// Rows that became newer, each change once.
        std::function<void(const std::vector<stored_row>&)> changed;
    };

    replica_sync(peer_transport&, hooks);

    /// Neighbours: the witnesses of this instance, the instances that it witnesses, and a link to each other region.
    void setNeighbours(std::vector<peer_address>);

    /// Rows read from or written to the store.
    void add(const std::vector<stored_row>&);
    const row_replica& rows() const { return m_rows; }
    /// The version in force at this node, for the digest.
    void setConfigurationVersion(std::int64_t version) { m_configurationVersion = version; }
    wire::Digest digest() const;

    /// A digest that came with a message of the peer.
    void onDigest(const peer_address& from, const wire::Digest&);
    /// True if the message was one of this class.
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
    /// Rows asked for and not yet received, so that the same row offered by several neighbours is pulled once.
    std::map<row_key, std::pair<row_version, time_point>> m_pulls;
    std::map<std::pair<instance_ref, std::string>, time_point> m_nextCompare;
    std::map<instance_ref, time_point> m_differsSince;
};

} // namespace heatherdrift
