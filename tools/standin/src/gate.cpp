#include "gate.h"

namespace lacewing::standin
{
namespace
{

constexpr std::size_t maxConnectionsSeen = 20'000;

} // namespace

Gate::Gate(net::EventLoop &loop, Faults &faults, FaultTarget target)
    : loop_(loop)
    , faults_(faults)
    , target_(std::move(target))
    , random_(hashBytes(target_.id))
{
}

bool Gate::takesRequest(const net::HttpRequest &request, net::ResponseWriter writer)
{
    if (firstSeen_.size() >= maxConnectionsSeen) {
        firstSeen_.clear();
    }
    firstSeen_.try_emplace(request.remoteAddress, loop_.clock().now());
    const std::string zone(request.header("X-Zone").value_or(""));
    if (const auto partition = faults_.partition(zone, target_)) {
        partition->mode == "refuse" ? writer.abort() : hold(writer);
        return true;
    }
    if (const auto outage = faults_.find(FaultKind::Outage, target_)) {
        outage->value == "503" ? writer.respond(net::status::unavailable, {}, "") : writer.abort();
        return true;
    }
    if (isSilent(request.remoteAddress)) {
        hold(writer);
        return true;
    }
    return false;
}

bool Gate::isSilent(const std::string &remoteAddress)
{
    const auto silent = faults_.find(FaultKind::Silent, target_);
    if (!silent || silent->value != "open") {
        return silent.has_value();
    }
    const auto seen = firstSeen_.find(remoteAddress);
    return seen != firstSeen_.end() && seen->second < silent->since;
}

void Gate::respond(
    const std::string &remoteAddress, net::ResponseWriter writer, int status, net::Headers headers, std::string body)
{
    const auto lose = faults_.find(FaultKind::LoseAnswer, target_);
    if (lose && random_.chance(lose->number(1))) {
        writer.abort();
        return;
    }
    if (isSilent(remoteAddress)) {
        hold(writer);
        return;
    }
    const auto late = faults_.find(FaultKind::Late, target_);
    if (!late) {
        writer.respond(status, headers, body);
        return;
    }
    const Time due = loop_.clock().now() + fromSeconds(late->number(0) / 1000);
    loop_.timers().once(due, [writer, status, headers = std::move(headers), body = std::move(body)](Time) mutable {
        writer.respond(status, headers, body);
    });
}

void Gate::hold(net::ResponseWriter writer)
{
    const auto key = ++lastHeld_;
    writer.onClosed([this, key] { held_.erase(key); });
    held_.emplace(key, std::move(writer));
}

} // namespace lacewing::standin
