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
    change_witnesses, ///< The holder changes to an arbitrary set, without trying it.
    needless_takeover, ///< An instance starts a takeover although its witness did not ask for it.
};

struct fault {
    fault_kind kind = fault_kind::pause;
    unsigned node = 0; ///< 0 is the holder; taken modulo the number of instances.
    int atMs = 0;
    int lengthMs = 0;
};

struct history_plan {
    unsigned witnesses = 3;
    int holderLostAtMs = -1; ///< Terminates then and does not return; negative: not at all.
    fault_rates rates;
    std::vector<fault> faults;
    lease_settings settings;
};

struct history_result {
    std::string violation; ///< Empty if all properties held.
    unsigned takeovers = 0; ///< Of the page, from an incarnation of the holder.
    unsigned liveTakeovers = 0; ///< Those while the process of that incarnation still existed.
    unsigned marks = 0; ///< Of a row as fencing.
    unsigned changes = 0; ///< Of the witness set, known to the holder.
    int lastTakeoverMs = 0; ///< True time.
};

constexpr int faultsEndMs = 6000;

/// Runs one holder, its successor incarnations, its witnesses, which are also the instances that take over, and the
/// store's rows of all members and of one page, in true time. Clocks run up to 1% fast or slow. Faults end at
/// faultsEndMs.
///
/// Properties checked: an incarnation that has lost its page never has a valid lease again; a witness that promised
/// never grants; epochs, incarnations and row states never go back; a fencing row keeps its witness set; after the
/// faults, a lost holder's page gets an owner, and a holder that is not lost gets a lease.
history_result runHistory(const history_plan&, std::uint32_t seed);

} // namespace heatherdrift::lease_test
