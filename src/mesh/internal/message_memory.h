#pragma once

#include "http/http_client.h"

#include <algorithm>

namespace heatherdrift {

/// Part of the memory of a process for the bodies of all requests and answers.
constexpr double messageMemoryShare = 0.75;
/// While an answer is received, passed on and written, so many copies of it exist for a moment. The body of a request
/// is held once.
constexpr std::size_t answerCopies = 3;
/// Of the memory for all messages, for one answer with its copies.
constexpr std::size_t largestAnswerDivisor = 2;
constexpr std::size_t maxAnswerBytes = 32u << 20;

inline std::shared_ptr<byte_budget> createMessageMemory(std::size_t memoryBytes)
{
    return byte_budget::create(static_cast<std::size_t>(static_cast<double>(memoryBytes) * messageMemoryShare));
}

inline answer_memory answerMemory(const std::shared_ptr<byte_budget>& budget)
{
    return { std::min(maxAnswerBytes, budget->limitBytes() / largestAnswerDivisor / answerCopies), budget,
        answerCopies };
}

} // namespace heatherdrift
