#include "admission/benchmarks/scenarios.h"

#include <cstdio>
#include <functional>
#include <map>
#include <string_view>

// Runs the comparisons named on the command line, or all of them.
int main(int count, char** arguments)
{
    using namespace heatherdrift::simulation;
    const std::map<std::string_view, std::function<void()>> comparisons {
        { "blocking", compareClassBlocking },
        { "customers", compareWorkspaces },
        { "retries", compareRetries },
        { "servers",
            [] {
                compareServerChoice();
                compareUnevenServers();
                compareHedges();
            } },
        { "hedges", compareHedges },
        { "swing", compareDemandSwing },
    };
    std::printf("seeds:");
    for (const auto seed : seeds)
        std::printf(" %llu", static_cast<unsigned long long>(seed));
    std::printf("; simulated time; medians over the seeds unless stated\n");
    for (const auto& [name, compare] : comparisons) {
        bool isWanted = count == 1;
        for (int index = 1; index < count; ++index)
            isWanted = isWanted || name == arguments[index];
        if (isWanted)
            compare();
    }
}
