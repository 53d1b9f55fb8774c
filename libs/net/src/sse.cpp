#include <net/net.h>

namespace lacewing::net
{
namespace
{

/** Returns the value of the last "id" field of an event; empty if there is none. */
std::string findEventId(std::string_view event)
{
    constexpr std::string_view idField = "id:";
    std::string id;
    while (!event.empty()) {
        const auto end = event.find_first_of("\r\n");
        std::string_view line = event.substr(0, end);
        if (line.starts_with(idField)) {
            line.remove_prefix(idField.size());
            id = line.starts_with(' ') ? line.substr(1) : line;
        }
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    }
    return id;
}

} // namespace

SseParser::SseParser(std::size_t maxEventBytes)
    : maxEventBytes_(maxEventBytes)
{
}

Result<std::vector<SseEvent>> SseParser::feed(std::string_view bytes)
{
    std::vector<SseEvent> events;
    while (!bytes.empty()) {
        if (afterReturn_ && bytes.front() == '\n') {
            bytes.remove_prefix(1);
            afterReturn_ = false;
            continue;
        }
        afterReturn_ = false;
        const auto end = bytes.find_first_of("\r\n");
        line_ += bytes.substr(0, end);
        if (line_.size() + event_.data.size() > maxEventBytes_) {
            return failure(ErrorKind::TooLarge, "server-sent event over the bound");
        }
        if (end == std::string_view::npos) {
            break;
        }
        afterReturn_ = bytes[end] == '\r';
        bytes.remove_prefix(end + 1);
        takeLine(line_, events);
        line_.clear();
    }
    return events;
}

void SseParser::takeLine(std::string_view line, std::vector<SseEvent> &events)
{
    if (line.empty()) {
        if (hasData_) {
            events.push_back(event_);
        }
        event_.event.clear();
        event_.data.clear();
        hasData_ = false;
        return;
    }
    const auto colon = line.find(':');
    const auto field = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    if (field == "data") {
        if (hasData_) {
            event_.data += '\n';
        }
        event_.data += value;
        hasData_ = true;
    } else if (field == "id" && value.find('\0') == std::string_view::npos) {
        event_.id = value;
    } else if (field == "event") {
        event_.event = value;
    }
}

bool SseBoundary::feed(char byte) noexcept
{
    if (byte == '\n' && isAfterReturn_) {
        isAfterReturn_ = false;
        return false;
    }
    isAfterReturn_ = byte == '\r';
    if (byte == '\n' || byte == '\r') {
        const bool isEmptyLine = isLineStart_;
        isInsideEvent_ = isInsideEvent_ && !isEmptyLine;
        isLineStart_ = true;
        return isEmptyLine;
    }
    constexpr char commentMark = ':';
    isInsideEvent_ = isInsideEvent_ || (isLineStart_ && byte != commentMark);
    isLineStart_ = false;
    return false;
}

void SseBoundary::feed(std::string_view bytes) noexcept
{
    for (const char byte : bytes) {
        feed(byte);
    }
}

std::vector<RawEvent> SseSplitter::feed(std::string_view bytes)
{
    pending_ += bytes;
    std::vector<RawEvent> events;
    std::size_t begin = 0;
    while (scanned_ < pending_.size()) {
        const char byte = pending_[scanned_++];
        const bool isEmpty = !boundary_.isInsideEvent();
        if (!boundary_.feed(byte)) {
            continue;
        }
        if (byte == '\r' && scanned_ < pending_.size() && pending_[scanned_] == '\n') {
            boundary_.feed(pending_[scanned_++]);
        }
        std::string event = pending_.substr(begin, scanned_ - begin);
        begin = scanned_;
        std::string id = findEventId(event);
        events.push_back({ std::move(id), std::move(event), isEmpty });
    }
    pending_.erase(0, begin);
    scanned_ -= begin;
    return events;
}

std::string SseSplitter::takeRest()
{
    scanned_ = 0;
    return std::exchange(pending_, {});
}

std::string sseEvent(std::string_view id, std::string_view data, std::string_view event)
{
    std::string text;
    const auto field = [&](std::string_view name, std::string_view value) {
        text += name;
        text += ": ";
        text += value;
        text += '\n';
    };
    if (!id.empty()) {
        field("id", id);
    }
    if (!event.empty()) {
        field("event", event);
    }
    for (;;) {
        const auto end = data.find('\n');
        field("data", data.substr(0, end));
        if (end == std::string_view::npos) {
            break;
        }
        data.remove_prefix(end + 1);
    }
    text += '\n';
    return text;
}

} // namespace lacewing::net
