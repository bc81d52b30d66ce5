#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace heatherdrift {

constexpr std::size_t maximumPools = 64;
constexpr std::size_t maximumSelectors = 1024;
/// Most values in one condition of a selector.
constexpr std::size_t maximumConditionValues = 256;
/// Most labels of one instance, announced or given by operators.
constexpr std::size_t maximumInstanceLabels = 64;
/// Most labels in the header of one request.
constexpr std::size_t maximumRequestLabels = 16;
/// Largest configuration, as compact JSON. Every node holds it and receives it over its control links.
constexpr std::size_t maximumConfigurationBytes = 256u << 10;

constexpr std::uint32_t maximumPartitions = 65536;
constexpr int maximumSlots = 10000;
constexpr int maximumConnections = 10000;
/// Request bodies are held in memory, because evhttp's client cannot stream them.
constexpr std::uint32_t maximumPoolBodyBytes = 64u << 20;

constexpr duration maximumTimeout = std::chrono::hours(24);
/// Short calls share reserved slots; a longer one would block the others as a long call does.
constexpr duration maximumShortTimeout = std::chrono::minutes(1);
constexpr duration minimumLongTimeout = std::chrono::seconds(1);
/// Bounds how long the owner remembers a once call, and how long its caller waits before the outcome is final.
constexpr duration maximumOnceTimeout = std::chrono::seconds(30);
/// A planned move waits for calls with ownership `run`, and the partition admits nothing meanwhile.
constexpr duration maximumRunTimeout = std::chrono::seconds(10);

} // namespace heatherdrift
