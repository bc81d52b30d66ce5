#pragma once

#include "fake_world.h"
#include "lease/lease_settings.h"

#include <string>

namespace heatherdrift::lease_test {

enum class fault_kind {
    pause,
    restart,
    cut_off, ///< From all other instances, not from the store.
    store_outage,
    lost_answers, ///< Of the store.
    change_witnesses, ///< The holder changes to an arbitrary set without sending renewals to it first.
    needless_takeover, ///< An instance starts a takeover although none is due at its witness.
};

struct fault {
    fault_kind kind = fault_kind::pause;
    unsigned node = 0; ///< 0 is the holder; taken modulo the number of instances.
    int atMs = 0;
    int lengthMs = 0;
};

struct history_plan {
    unsigned witnesses = 3;
    int holderLostAtMs = -1; ///< When the holder terminates permanently; negative: never.
    fault_rates rates;
    std::vector<fault> faults;
    lease_settings settings;
};

struct history_result {
    std::string violation; ///< Empty if all properties held.
    unsigned takeovers = 0; ///< Takeovers of the page from an incarnation of the holder.
    unsigned liveTakeovers = 0; ///< Takeovers while the process of that incarnation still existed.
    unsigned marks = 0; ///< Writes that set a row to fencing.
    unsigned changes = 0; ///< Changes of the witness set that the holder has confirmed.
    int lastTakeoverMs = 0; ///< True time.
};

constexpr int faultsEndMs = 6000;

/// Simulates one holder with its later incarnations, its witnesses, which also perform the takeovers, and the store
/// with the rows of all members and of one page. Clocks run up to 1% fast or slow. Faults end at faultsEndMs.
///
/// Properties checked: an incarnation that has lost its page never has a valid lease again; a witness never grants
/// after its promise; epochs, incarnations and row states never decrease; a fencing row keeps its witness set; after
/// the faults, the page of a lost holder gets an owner, and a holder that is not lost gets a lease.
history_result runHistory(const history_plan&, std::uint32_t seed);

} // namespace heatherdrift::lease_test
