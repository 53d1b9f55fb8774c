#include "relay_messages.h"

namespace lacewing::gateway
{

std::vector<HeaderMessage> toMessage(const net::Headers &headers)
{
    std::vector<HeaderMessage> messages;
    messages.reserve(headers.size());
    for (const auto &header : headers) {
        messages.push_back({ header.name, header.value });
    }
    return messages;
}

net::Headers toHeaders(std::vector<HeaderMessage> messages)
{
    net::Headers headers;
    headers.reserve(messages.size());
    for (auto &message : messages) {
        headers.push_back({ std::move(message.name), std::move(message.value) });
    }
    return headers;
}

} // namespace lacewing::gateway
