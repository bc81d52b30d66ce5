#pragma once

#include "admission/random_function.h"
#include "base/event_handle.h"
#include "mesh/internal/gate_service.h"
#include "mesh/internal/owner_candidate.h"
#include "ranges/hold_keeper.h"
#include "ranges/range_planner.h"
#include "settings/mesh_settings.h"
#include "store/watched_store.h"

#include <set>

namespace heatherdrift {

/// What another owner says of a range map.
enum class map_statement {
    current, ///< The store confirmed it just now.
    promised, ///< The store does not answer; the owner takes no keys of the one who asks over for a while.
    outdated, ///< A newer one is known.
    unknown,
};

struct ownership_hooks {
    clock_function now;
    /// Backend servers that can own keys, in the order of their nodes.
    std::function<std::vector<owner_candidate>()> candidates;
    /// The map with the keys moved that should be because of their load.
    std::function<range_map(const range_map&, fencing_token, time_point now)> balance;
    /// Holds or the range map have changed.
    std::function<void()> onChanged;
    /// The store does not confirm the map: the other owners are to be asked.
    std::function<void()> askOtherOwners;
    /// Asks the one owner that checks the map for all of them; false if that is this node, or none is known.
    std::function<bool()> askConfirmingOwner;
    /// This node changed the map; the given lives are concerned.
    std::function<void(const std::set<life_name>&)> onWritten;
    /// Whether the node beside the backend server of this life answers, so that it will tell of its releases.
    std::function<bool(const life_name&)> isReachable;
};

/// Keeps the keys of the backend server beside this node: what it may hold, and the range map of its service in the
/// store. Every change of the map is a compare-and-set; what is to be changed is computed anew from the newest map.
class ownership {
public:
    ownership(event_base*, const mesh_settings&, watched_store&, row_key mapRow, ownership_hooks);

    /// The range map row was read or has changed.
    void rowChanged(const row_change&);
    /// The whole table was read, so that a missing row does not exist.
    void tableRead();
    /// Calls advance() regularly from now on.
    void start();
    /// Does what is due.
    void advance();

    const range_map& map() const { return m_map; }
    row_version version() const { return m_version; }
    key_access access(key_number) const;
    /// Takes in what the backend server says of its keys.
    void report(const backend_announcement&);
    /// What the backend server is to hold, as the answer to its last report.
    hold_grant grant(time_point receivedAt);
    /// The backend server has ended for certain.
    void backendEnded(const life_name&);
    /// An earlier life of the backend server beside this node; the present one takes its keys over at once.
    void predecessorEnded(const life_name&);
    /// The backend server of another node has ended for certain.
    void otherEnded(const life_name&);
    /// The backend server leaves; its keys go to the others.
    void startDrain();
    /// The backend server had this life before the process started; a heartbeat has yet to confirm it.
    void presumeLife(const life_name&);

    /// Lives of the other owners, all of which have to promise.
    std::vector<life_name> otherOwners() const;
    const life_name& life() const { return m_keeper.life(); }
    /// The present map was current in the store at this time, as another owner says.
    void confirmed(time_point at);
    /// All other owners promised; they were asked at this time or later.
    void promised(time_point askedAt);
    /// For another owner: whether the map of this version is current, and how long ago the newest known one was for
    /// certain.
    using statement_function = std::function<void(map_statement, std::optional<duration> confirmedAgo)>;
    void confirmFor(const life_name& holder, row_version, statement_function);
    void adoptNewer(const range_map& map, row_version version) { adopt(map, version, std::nullopt); }
    /// Whether keys are about to be granted to the backend server.
    bool awaitsGrant() const;
    /// Whether the store answered the last question about the range map.
    bool isStoreAvailable() const { return m_storeAnswered; }

private:
    void adopt(const range_map&, row_version, std::optional<time_point> readAt);
    void confirmIfDue(time_point now);
    void noteCurrent(row_version, time_point at);
    std::optional<range_map> nextMap(time_point now);
    range_map releaseOutwaited(const range_map&, time_point now) const;
    range_map coordinate(const range_map&, time_point now);
    range_map balance(const range_map&, time_point now);
    void propose();
    void wrote(const range_map& proposed, time_point sentAt, result<write_outcome>);
    /// Asks the store whether the map is current; questions that come meanwhile share the answer.
    void checkMap(std::function<void(bool isCurrent)>);
    void checked(row_version, time_point sentAt, const result<write_outcome>&);
    /// How long ago the present map was current in the store, if that is recent enough to be passed on.
    std::optional<duration> recentlyChecked() const;
    map_statement promise(const life_name& holder);
    void failed(const failure&);
    void logGrant(const hold_grant&, std::size_t before, time_point receivedAt) const;
    void logMap(const range_map&, row_version, bool isOwnCall) const;
    /// Takes in the map that a refused write or check was answered with.
    void adoptCurrent(const write_outcome&, time_point sentAt);
    /// After a write that another owner was faster with.
    void backOff();
    bool isGrantNear(const owned_range&) const;
    bool isOwnerKnown(const life_name&, const std::vector<owner_candidate>&) const;

    const mesh_settings& m_settings;
    watched_store& m_store;
    row_key m_row;
    ownership_hooks m_hooks;
    hold_keeper m_keeper;
    range_map m_map;
    row_version m_version = 0;
    bool m_isTableRead = false;
    bool m_isDraining = false;
    std::set<life_name> m_ended; ///< Lives that have ended for certain and may still stand in the map.
    std::map<fencing_token, time_point> m_seenAt; ///< When this process first saw an assignment.
    life_name m_previousLife; ///< Of the backend server beside this node, before the present one.
    bool m_isWriting = false;
    int m_conflicts = 0; ///< In a row.
    time_point m_startedAt;
    bool m_storeAnswered = true; ///< The last check of the map.
    row_version m_unresolvedVersion = -1; ///< A write that expects this version may still take effect.
    std::map<life_name, time_point> m_promisedUntil; ///< Owners whose keys this node does not take over.
    life_name m_presumedLife;
    row_version m_checkedVersion = 0; ///< Version that was current in the store
    time_point m_checkedAt = time_point::min(); ///< at this time.
    std::vector<std::function<void(bool isCurrent)>> m_awaitingCheck; ///< Not empty: a check is on its way.
    time_point m_extensionDueAt = time_point::min();
    time_point m_confirmDueAt = time_point::min();
    time_point m_mayWriteAt = time_point::min(); ///< After a failed write.
    time_point m_strayedSince = time_point::max(); ///< Since when some keys have no live owner.
    random_function m_random;
    timer m_tick;
};

} // namespace heatherdrift
