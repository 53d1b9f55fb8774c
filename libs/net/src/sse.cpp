#include <net/net.h>

namespace lacewing::net
{

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

std::vector<RawEvent> SseSplitter::feed(std::string_view bytes)
{
    pending_ += bytes;
    std::vector<RawEvent> events;
    std::size_t begin = 0;
    std::size_t lineBegin = 0;
    std::string id;
    for (std::size_t at = 0; at < pending_.size(); ++at) {
        if (pending_[at] != '\n') {
            continue;
        }
        std::string_view line = std::string_view(pending_).substr(lineBegin, at - lineBegin);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        lineBegin = at + 1;
        constexpr std::string_view idField = "id:";
        if (line.starts_with(idField)) {
            line.remove_prefix(idField.size());
            id = line.starts_with(' ') ? line.substr(1) : line;
        } else if (line.empty()) {
            events.push_back({ std::exchange(id, {}), pending_.substr(begin, lineBegin - begin) });
            begin = lineBegin;
        }
    }
    pending_.erase(0, begin);
    return events;
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
