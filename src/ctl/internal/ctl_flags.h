#pragma once

#include "base/failure.h"

#include <absl/flags/declare.h>
#include <absl/time/time.h>
#include <string>
#include <vector>

ABSL_DECLARE_FLAG(std::vector<std::string>, node);
ABSL_DECLARE_FLAG(absl::Duration, timeout);
ABSL_DECLARE_FLAG(bool, json);
ABSL_DECLARE_FLAG(int64_t, base_version);
ABSL_DECLARE_FLAG(int64_t, version);
ABSL_DECLARE_FLAG(bool, yes);
ABSL_DECLARE_FLAG(bool, follow);
ABSL_DECLARE_FLAG(uint64_t, after);
ABSL_DECLARE_FLAG(std::vector<std::string>, entry);
ABSL_DECLARE_FLAG(std::string, key);
ABSL_DECLARE_FLAG(std::string, host);
ABSL_DECLARE_FLAG(std::string, path);
ABSL_DECLARE_FLAG(std::string, method);
ABSL_DECLARE_FLAG(std::string, labels);
ABSL_DECLARE_FLAG(std::string, customer);
ABSL_DECLARE_FLAG(std::string, body);
ABSL_DECLARE_FLAG(bool, once);
ABSL_DECLARE_FLAG(std::string, token);

namespace heatherdrift {

struct parsed_arguments {
    std::vector<std::string> positional;
    bool wantsHelp = false;
    std::vector<std::string> flags; ///< Names of the flags that were given.
};

/// Sets the flags --name=value, --name value, --name and --noname (bool); "--" ends them. Fails with bad_request for an
/// unknown flag or a bad value. absl::ParseCommandLine() would end the process with the exit code of a failure.
result<parsed_arguments> parseArguments(const std::vector<std::string>&);

/// One line for each flag.
std::string flagHelp(const std::vector<std::string>& names);

} // namespace heatherdrift
