#include "messages/frame_codec.h"

#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck/gtest.h>

namespace heatherdrift {
namespace {

    struct evbuffer_deleter {
        void operator()(evbuffer* value) const { evbuffer_free(value); }
    };

    using evbuffer_handle = std::unique_ptr<evbuffer, evbuffer_deleter>;

    evbuffer_handle bufferWith(std::string_view bytes)
    {
        evbuffer_handle buffer(evbuffer_new());
        evbuffer_add(buffer.get(), bytes.data(), bytes.size());
        return buffer;
    }

    wire::Message sampleMessage(const std::string& key, const std::string& value)
    {
        wire::Row row;
        row.__set_table("pages");
        row.__set_key(key);
        row.__set_version(7);
        row.__set_value(value);
        wire::Update update;
        update.__set_rows({ row });
        wire::Message message;
        message.__set_update(update);
        return message;
    }

    RC_GTEST_PROP(FrameCodec, RoundTripInAnyPieces, (const std::string& key, const std::string& value))
    {
        const auto message = sampleMessage(key, value);
        const auto frame = encodeFrame(message).value();
        const auto cut = *rc::gen::inRange<std::size_t>(0, frame.size());
        auto buffer = bufferWith(frame.substr(0, cut));
        RC_ASSERT(!takeFrame(buffer.get()).value());
        evbuffer_add(buffer.get(), frame.data() + cut, frame.size() - cut);
        const auto decoded = takeFrame(buffer.get()).value();
        RC_ASSERT(decoded == message);
        RC_ASSERT(evbuffer_get_length(buffer.get()) == 0u);
    }

    // Guards against a damaged frame that crashes the process, is taken for a message of another size, or makes it
    // allocate without bound.
    RC_GTEST_PROP(FrameCodec, DamagedFramesNeverCrash, (const std::string& value))
    {
        auto frame = encodeFrame(sampleMessage("key", value)).value();
        const auto position = *rc::gen::inRange<std::size_t>(0, frame.size());
        frame[position] = *rc::gen::arbitrary<char>();
        auto buffer = bufferWith(frame);
        (void)takeFrame(buffer.get());
        RC_ASSERT(evbuffer_get_length(buffer.get()) <= frame.size());
    }

    struct bad_frame {
        const char* name;
        std::string bytes;
    };

    std::string frameOf(std::string_view body)
    {
        std::string frame { 0, 0, 0, static_cast<char>(body.size()) };
        return frame.append(body);
    }

    // Guards against wrong lengths and huge containers.
    TEST(FrameCodec, RejectsBadFrames)
    {
        // Field 10 (update), field 1 (list of structs) with a claimed length of 2^31 - 1.
        const std::string hugeList = frameOf(std::string_view("\xac\x19\xfc\xff\xff\xff\xff\x07", 8));
        // A string of 2^31 - 1 bytes as the sender's id of a hello.
        const std::string hugeString = frameOf(std::string_view("\x1c\x1c\x18\xff\xff\xff\xff\x07", 8));
        const bad_frame cases[] = {
            { "zero length", std::string("\0\0\0\0", 4) },
            { "length above the limit", "\x7f\xff\xff\xff" },
            { "empty message", frameOf(std::string_view("\0", 1)) },
            { "huge list", hugeList },
            { "huge string", hugeString },
            { "truncated body", frameOf("\x1c\x1c") },
            { "noise", frameOf("hello, world") },
            { "trailing bytes",
                [] {
                    auto frame = encodeFrame(sampleMessage("k", "v")).value() + "x";
                    ++frame[3];
                    return frame;
                }() },
        };
        for (const auto& entry : cases) {
            auto buffer = bufferWith(entry.bytes);
            const auto decoded = takeFrame(buffer.get());
            ASSERT_TRUE(decoded.has_error()) << entry.name;
            EXPECT_EQ(decoded.error().code, error_code::bad_request) << entry.name;
        }
    }

    TEST(FrameCodec, RefusesToSendAnOversizedMessage)
    {
        const auto frame = encodeFrame(sampleMessage("k", std::string(maximumFrameBytes, 'x')));
        ASSERT_TRUE(frame.has_error());
        EXPECT_EQ(frame.error().code, error_code::too_large);
    }

} // namespace
} // namespace heatherdrift
