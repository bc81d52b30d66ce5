#include "messages/frame_codec.h"

#include <arpa/inet.h>
#include <cstring>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace heatherdrift {

namespace {

    using apache::thrift::TConfiguration;
    using apache::thrift::protocol::TCompactProtocolT;
    using apache::thrift::transport::TMemoryBuffer;

    constexpr std::size_t lengthBytes = 4;
    constexpr int maximumNesting = 8;

    std::shared_ptr<TConfiguration> limits()
    {
        return std::make_shared<TConfiguration>(
            static_cast<int>(maximumFrameBytes), static_cast<int>(maximumFrameBytes), maximumNesting);
    }

    int countFields(const wire::Message& message)
    {
        const auto& set = message.__isset;
        return set.hello + set.renewal + set.grant + set.refusal + set.promiseRequest + set.promise + set.offer
            + set.compare + set.pull + set.update + set.strikes + set.moveRequest + set.loadReport + set.promiseRefusal
            + set.silenceInquiry + set.silenceReport + set.digest + set.poolLoad;
    }

    result<wire::Message> decodeBody(std::uint8_t* data, std::uint32_t size)
    {
        wire::Message message;
        try {
            auto buffer = std::make_shared<TMemoryBuffer>(data, size, TMemoryBuffer::OBSERVE, limits());
            TCompactProtocolT<TMemoryBuffer> protocol(buffer, static_cast<int>(maximumFrameBytes), maximumListElements);
            message.read(&protocol);
            if (buffer->available_read() != 0)
                return notRun(error_code::bad_request, "bytes after the end of the message");
        } catch (const std::exception& error) {
            return notRun(error_code::bad_request, std::string("not a message: ") + error.what());
        }
        if (countFields(message) != 1)
            return notRun(error_code::bad_request, "a message must have exactly one kind");
        return message;
    }

} // namespace

result<std::string> encodeFrame(const wire::Message& message)
{
    auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    message.write(&protocol);
    const auto body = buffer->getBufferAsString();
    if (body.size() > maximumFrameBytes)
        return notRun(error_code::too_large, "message of " + std::to_string(body.size()) + " bytes");
    const std::uint32_t length = htonl(static_cast<std::uint32_t>(body.size()));
    std::string frame(lengthBytes, '\0');
    std::memcpy(frame.data(), &length, lengthBytes);
    return frame + body;
}

result<std::optional<wire::Message>> takeFrame(evbuffer* input)
{
    std::uint32_t length = 0;
    if (evbuffer_copyout(input, &length, lengthBytes) < static_cast<ev_ssize_t>(lengthBytes))
        return std::optional<wire::Message>();
    length = ntohl(length);
    if (length == 0 || length > maximumFrameBytes)
        return notRun(error_code::bad_request, "frame length " + std::to_string(length) + " is out of range");
    if (evbuffer_get_length(input) < lengthBytes + length)
        return std::optional<wire::Message>();
    evbuffer_drain(input, lengthBytes);
    auto message = decodeBody(evbuffer_pullup(input, static_cast<ev_ssize_t>(length)), length);
    evbuffer_drain(input, length);
    if (message.has_error())
        return std::move(message).error();
    return std::optional<wire::Message>(std::move(message).value());
}

} // namespace heatherdrift
