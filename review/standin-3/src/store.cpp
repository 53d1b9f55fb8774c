#include "store.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>

namespace lacewing::review
{
namespace
{

using Json = nlohmann::json;

constexpr Duration answerTime = std::chrono::milliseconds(4);
constexpr std::size_t pageItems = 500;
constexpr std::size_t lengthBytes = 4;
constexpr std::size_t offsetBytes = 8;
constexpr unsigned int bitsPerByte = 8;

std::string bigEndian(std::uint64_t value, std::size_t bytes)
{
    std::string text(bytes, '\0');
    for (std::size_t at = bytes; at > 0; --at) {
        text[at - 1] = static_cast<char>(value & 0xffU);
        value >>= bitsPerByte;
    }
    return text;
}

std::uint64_t fromBigEndian(std::string_view bytes)
{
    std::uint64_t value = 0;
    for (const char byte : bytes) {
        value = (value << bitsPerByte) | static_cast<unsigned char>(byte);
    }
    return value;
}

std::uint64_t numberOf(const net::HttpRequest &request, std::string_view name)
{
    const auto text = request.query(name);
    return text ? std::stoull(*text) : 0;
}

const net::Headers &headers()
{
    static const net::Headers era { { "Store-Era", "1" } };
    return era;
}

} // namespace

Store::Store(net::EventLoop &loop, const std::string &ip)
    : loop_(loop)
    , ip_(ip)
    , server_(loop, {}, [this](net::HttpRequest request, net::ResponseWriter writer) {
        const auto held = std::make_shared<net::HttpRequest>(std::move(request));
        loop_.timers().once(loop_.clock().now() + answerTime, [this, held, writer](Time) { handle(*held, writer); });
    })
{
}

bool Store::start()
{
    return bool(server_.listen({ ip_, 0 }));
}

std::string Store::address() const
{
    return net::toText(server_.address());
}

void Store::write(const std::string &topicName, const std::string &key, const std::string &value)
{
    Topic &topic = topics_[topicName];
    if (value.empty()) {
        topic.newest.erase(key);
    } else {
        topic.newest[key] = topic.records.size();
    }
    topic.records.push_back({ key, value });
    for (auto &pending : std::exchange(topic.pendingReads, {})) {
        answer(topic, pending.from, pending.writer);
    }
}

void Store::handle(const net::HttpRequest &request, net::ResponseWriter writer)
{
    if (request.path() == "/v1/log-append") {
        append(request, writer);
    } else if (request.path() == "/v1/log-read") {
        read(request, writer);
    } else if (request.path() == "/v1/log-newest") {
        readNewest(request, writer);
    } else {
        writer.respond(net::status::notFound, headers(), {});
    }
}

void Store::append(const net::HttpRequest &request, net::ResponseWriter &writer)
{
    const std::string topic = request.query("topic").value_or("");
    if (topic == "keyed.op" || topic == "keyed.servers") {
        writer.respond(403, headers(), {});
        return;
    }
    const std::uint64_t offset = topics_[topic].records.size();
    std::string_view body = request.body;
    while (body.size() > lengthBytes) {
        const auto length = fromBigEndian(body.substr(0, lengthBytes));
        const auto content = body.substr(lengthBytes, length);
        const std::size_t keyLength = static_cast<unsigned char>(content.front());
        write(topic, std::string(content.substr(1, keyLength)), std::string(content.substr(1 + keyLength)));
        body.remove_prefix(lengthBytes + length);
    }
    writer.respond(
        net::status::ok, headers(), Json { { "offset", offset }, { "end", topics_[topic].records.size() } }.dump());
}

void Store::read(const net::HttpRequest &request, net::ResponseWriter &writer)
{
    const std::string name = request.query("topic").value_or("");
    Topic &topic = topics_[name];
    const std::uint64_t from = numberOf(request, "from");
    const auto wait = std::chrono::milliseconds(numberOf(request, "wait-ms"));
    if (from > topic.records.size()) {
        writer.respond(net::status::gone, headers(), Json { { "first", 0 } }.dump());
    } else if (from < topic.records.size() || wait.count() == 0) {
        answer(topic, from, writer);
    } else {
        const std::uint64_t id = ++lastRead_;
        topic.pendingReads.push_back({ id, from, writer });
        loop_.timers().once(loop_.clock().now() + wait, [this, name, id](Time) {
            Topic &waiting = topics_[name];
            const auto found = std::find_if(waiting.pendingReads.begin(),
                                            waiting.pendingReads.end(),
                                            [&](const PendingRead &pending) { return pending.id == id; });
            if (found != waiting.pendingReads.end()) {
                answer(waiting, found->from, found->writer);
                waiting.pendingReads.erase(found);
            }
        });
    }
}

void Store::readNewest(const net::HttpRequest &request, net::ResponseWriter &writer)
{
    const Topic &topic = topics_[request.query("topic").value_or("")];
    const auto after = request.query("after");
    Json response { { "items", Json::array() }, { "truncated", false }, { "end", topic.records.size() } };
    for (const auto &[key, offset] : topic.newest) {
        if (after && key <= *after) {
            continue;
        }
        if (response["items"].size() == pageItems) {
            response["truncated"] = true;
            break;
        }
        response["items"].push_back(
            { { "key", key }, { "value", net::toBase64(topic.records[offset].value) }, { "offset", offset } });
    }
    writer.respond(net::status::ok, headers(), response.dump());
}

void Store::answer(const Topic &topic, std::uint64_t from, net::ResponseWriter &writer) const
{
    std::string body = bigEndian(topic.records.size(), offsetBytes) + bigEndian(0, offsetBytes);
    for (std::uint64_t at = from; at < topic.records.size(); ++at) {
        const Record &record = topic.records[at];
        body += bigEndian(1 + record.key.size() + record.value.size(), lengthBytes);
        body += static_cast<char>(record.key.size());
        body += record.key + record.value;
    }
    writer.respond(net::status::ok, headers(), std::move(body));
}

} // namespace lacewing::review
