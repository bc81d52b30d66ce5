#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace heatherdrift {

/// Exit codes of heatherdriftctl; docs/OPERATIONS.md lists them.
enum class exit_code {
    done = 0,
    failed = 1, ///< Refused or failed; for a request also an answer with an error status.
    usage = 2,
    unknown = 3, ///< The change or request may have taken effect.
    not_in_force = 4, ///< The change was accepted, but is not in force everywhere in time.
};

struct ctl_streams {
    std::ostream& out;
    std::ostream& err;
};

/// Runs heatherdriftctl with its arguments, without the program's name. Sets the process's Abseil flags.
exit_code runCtl(const std::vector<std::string>& arguments, ctl_streams);

} // namespace heatherdrift
