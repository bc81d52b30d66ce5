#pragma once

#include "base/clock.h"

namespace heatherdrift {

/// Where a node stands among those that answer, in the order of their names.
struct fleet_place {
    std::size_t rank = 0; ///< Nodes before this one.
    std::size_t nodes = 1; ///< Nodes that answer, with this one.

    /// Nodes at the beginning of the order that keep asking the store: two, since one may be lost, and more in a large
    /// fleet, whose other nodes would ask too much of two.
    std::size_t readers() const { return 2 + nodes / 64; }
    bool isReader() const { return rank < readers(); }

    bool operator==(const fleet_place&) const = default;
};

/// How soon the nodes learn of a change of a table. Sooner costs more calls to the store.
struct watch_terms {
    duration readerWait = std::chrono::milliseconds(1000); ///< How long a reader's question waits for a change.
    duration batchTime {}; ///< Changes that follow each other within this time share one question.
    duration patience = std::chrono::milliseconds(1450); ///< Age of knowledge at which any node asks the store.
    /// Age of knowledge at which a node asks a reader, which costs less than a call to the store.
    duration readerPatience = std::chrono::milliseconds(1050);
    duration readTimeout = std::chrono::milliseconds(700); ///< Of a question that does not wait for a change.

    bool operator==(const watch_terms&) const = default;
};

/// What a node knows of a table.
struct watch_state {
    fleet_place place;
    time_point currentAt {}; ///< Latest time at which the known rows were those in the store; zero: never.
    time_point answeredAt {}; ///< End of the node's last own question to the store.
    int failures = 0; ///< Of own questions since the last answer.
    bool hasNews = false; ///< The last answer of the store had changes.
};

/// A question to the store about changes of a table.
struct watch_question {
    time_point at {}; ///< When it is to be sent, unless other nodes tell of the table before.
    duration wait {}; ///< How long the store waits for a change before it answers.

    bool operator==(const watch_question&) const = default;
};

/// Pattern "many nodes, one table": a few readers keep asking the store, and tell the others with the answers that
/// nodes give each other anyway. A node that heard of nobody who asked lately asks itself, so that no reader is needed
/// for it. The calls to the store do not grow with the nodes. random is uniform in [0, 1).
watch_question nextQuestion(const watch_terms&, const watch_state&, double random);

/// Whether a node should ask a reader now, before it has to ask the store.
bool asksReader(const watch_terms&, const watch_state&, time_point now);

} // namespace heatherdrift
