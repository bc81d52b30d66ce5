#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace heatherdrift {

class byte_share;

/// Body of a request. Copies share the bytes, so that a request is passed on, sent again and written without copying
/// them.
class message_body {
public:
    message_body() = default;
    message_body(std::string text, std::shared_ptr<byte_share> memory = nullptr)
        : m_content(
            text.empty() ? nullptr : std::make_shared<const content>(content { std::move(text), std::move(memory) }))
    {
    }
    message_body(const char* text)
        : message_body(std::string(text))
    {
    }

    const std::string& text() const
    {
        static const std::string none;
        return m_content ? m_content->text : none;
    }
    operator std::string_view() const { return text(); }
    std::size_t size() const { return text().size(); }
    bool empty() const { return !m_content; }

    bool operator==(const message_body& other) const { return m_content == other.m_content || text() == other.text(); }

private:
    struct content {
        std::string text;
        std::shared_ptr<byte_share> memory; ///< Of the budget of the process; null if the bytes are not counted.
    };

    std::shared_ptr<const content> m_content;
};

} // namespace heatherdrift
