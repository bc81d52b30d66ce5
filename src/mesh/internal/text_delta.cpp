#include "mesh/internal/text_delta.h"

#include "base/hash.h"

#include <algorithm>
#include <bit>
#include <cstring>
#include <endian.h>
#include <memory>
#include <zstd.h>

namespace heatherdrift {

namespace {

    constexpr int compressionLevel = 3; ///< Higher levels save little on such texts.
    constexpr std::size_t wordBytes = sizeof(std::uint64_t);
    constexpr std::size_t headBytes = 3 * wordBytes; ///< Length and hash of the text, hash of the base.

    struct context_deleter {
        void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
        void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
    };

    void appendWord(std::string& out, std::uint64_t value)
    {
        const std::uint64_t word = htole64(value);
        out.append(reinterpret_cast<const char*>(&word), wordBytes);
    }

    std::uint64_t readWord(std::string_view data, std::size_t index)
    {
        std::uint64_t word = 0;
        std::memcpy(&word, data.data() + index * wordBytes, wordBytes);
        return le64toh(word);
    }

    /// The window has to reach from the end of the text back to the start of the base.
    int windowLog(std::size_t bytes)
    {
        const auto bounds = ZSTD_cParam_getBounds(ZSTD_c_windowLog);
        return std::clamp(static_cast<int>(std::bit_width(bytes)), bounds.lowerBound, bounds.upperBound);
    }

    failure damaged(const std::string& what) { return notRun(error_code::bad_request, "damaged update: " + what); }

} // namespace

std::string encodeDelta(std::string_view text, std::string_view base)
{
    std::string out;
    appendWord(out, text.size());
    appendWord(out, hashBytes(text));
    appendWord(out, hashBytes(base));
    const std::unique_ptr<ZSTD_CCtx, context_deleter> context(ZSTD_createCCtx());
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel);
    if (!base.empty()) {
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLog(base.size() + text.size()));
        // Finds a match at a distance for which the table of short matches has no room.
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
        ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    }
    out.resize(headBytes + ZSTD_compressBound(text.size()));
    const auto size
        = ZSTD_compress2(context.get(), out.data() + headBytes, out.size() - headBytes, text.data(), text.size());
    // Cannot fail with a buffer of that size; a receiver would reject the empty rest.
    out.resize(headBytes + (ZSTD_isError(size) ? 0 : size));
    return out;
}

result<std::string> decodeDelta(std::string_view data, std::string_view base, std::size_t limitBytes)
{
    // Without this check, zstd would decode an empty frame to an empty text.
    if (data.size() <= headBytes)
        return damaged("no frame");
    const auto length = readWord(data, 0);
    if (length > limitBytes)
        return notRun(error_code::too_large, "update of " + std::to_string(length) + " bytes");
    if (readWord(data, 2) != hashBytes(base))
        return notRun(error_code::conflict, "update for another base");
    const std::unique_ptr<ZSTD_DCtx, context_deleter> context(ZSTD_createDCtx());
    if (!base.empty())
        ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string text(length, '\0');
    data.remove_prefix(headBytes);
    const auto size = ZSTD_decompressDCtx(context.get(), text.data(), text.size(), data.data(), data.size());
    if (ZSTD_isError(size))
        return damaged(ZSTD_getErrorName(size));
    if (size != length || hashBytes(text) != readWord({ data.data() - headBytes, headBytes }, 1))
        return damaged("wrong hash");
    return text;
}

} // namespace heatherdrift
