#include "service.h"

#include "answers.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace lacewing::standin
{
namespace
{

using Json = nlohmann::json;

} // namespace

Service::Service(Process &process)
    : process_(process)
{
}

void Service::serve(const net::HttpRequest &request, net::ResponseWriter writer)
{
    const Json json = Json::parse(request.body, nullptr, false);
    if (!json.is_object() || !json.contains("input") || !json["input"].is_string()) {
        auto headers = answerHeaders(process_, callIdOf(request));
        headers.push_back({ "X-Not-Started", "true" });
        writer.respond(net::status::badRequest, headers, "no input");
        return;
    }
    if (queue_.size() >= process_.settings.maxWaiting) {
        declineCall(process_, request, std::move(writer), "queue is full");
        return;
    }
    Call call;
    call.callId = callIdOf(request);
    call.target = request.path();
    call.input = json["input"].get<std::string>();
    call.remoteAddress = request.remoteAddress;
    call.priority = json.contains("priority") && json["priority"].is_number_integer() ? json["priority"].get<int>() : 0;
    call.writer = std::move(writer);
    enqueue(std::move(call));
    startNext();
}

void Service::enqueue(Call call)
{
    const auto place =
        std::find_if(queue_.begin(), queue_.end(), [&](const Call &other) { return other.priority < call.priority; });
    queue_.insert(place, std::move(call));
}

void Service::startNext()
{
    while (running_ < process_.settings.slots && !queue_.empty()) {
        Call call = std::move(queue_.front());
        queue_.pop_front();
        if (call.writer.isOpen()) {
            run(std::move(call));
        }
    }
}

void Service::run(Call call)
{
    ++running_;
    process_.executions.add(call.target, call.input);
    crashIfMarked(process_, call.input);
    const double median = std::max(toSeconds(process_.settings.serviceTime), 1e-6);
    const Duration busy =
        fromSeconds(process_.random.logNormal(median, process_.settings.serviceSigma) * slowFactor(process_));
    const Time due = process_.loop.clock().now() + busy;
    process_.loop.timers().once(due, [weak = weak_from_this(), call = std::move(call), busy](Time) mutable {
        if (const auto self = weak.lock()) {
            self->finish(call, busy);
        }
    });
}

void Service::finish(Call &call, Duration busy)
{
    --running_;
    Answer answer { call.callId, plainOutput(call.target, call.input) };
    const bool cross = process_.gate.faults().has(FaultKind::Cross, process_.gate.target());
    const Answer sent = cross && !lastAnswer_.callId.empty() ? lastAnswer_ : answer;
    lastAnswer_ = std::move(answer);
    const Json json = {
        { "output", sent.output },
        { "busy_us", busy.count() },
        { "prompt_tokens", promptTokens(call.input) },
    };
    process_.gate.respond(
        call.remoteAddress, std::move(call.writer), net::status::ok, answerHeaders(process_, sent.callId), json.dump());
    startNext();
}

} // namespace lacewing::standin
