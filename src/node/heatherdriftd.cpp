#include "base/signal_block.h"
#include "node/node.h"
#include "settings/node_settings.h"
#include "telemetry/log_event.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "Path of the JSON settings file (docs/settings.md).");
ABSL_FLAG(bool, check, false, "Check the settings and exit: 0 if they are valid, 2 if not.");

namespace {

constexpr int exitInvalidSettings = 2;

int reject(const heatherdrift::failure& reason)
{
    std::cerr << "heatherdriftd: " << reason.message << "\n";
    return exitInvalidSettings;
}

} // namespace

int main(int argc, char** argv)
{
    heatherdrift::blockSignals({ SIGTERM, SIGINT });
    signal(SIGPIPE, SIG_IGN);
    // The settings are read at the start only, so there is nothing to do.
    signal(SIGHUP, SIG_IGN);
    absl::SetProgramUsageMessage("Runs one node of heatherdrift: heatherdriftd --settings=FILE");
    absl::ParseCommandLine(argc, argv);
    const auto settings = heatherdrift::loadNodeSettings(absl::GetFlag(FLAGS_settings));
    if (settings.has_error())
        return reject(settings.error());
    if (const auto checked = heatherdrift::node::check(settings.value()); checked.has_error())
        return reject(checked.error());
    if (absl::GetFlag(FLAGS_check)) {
        std::cout << "settings are valid\n";
        return 0;
    }
    heatherdrift::startLogging(settings.value().leastLogLevel);
    const auto node = heatherdrift::node::create(settings.value());
    if (node.has_error())
        return reject(node.error());
    node.value()->run();
    return 0;
}
