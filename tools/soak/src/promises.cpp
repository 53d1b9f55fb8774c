#include "promises.h"

#include <platform_standin/platform_standin.h>

#include <algorithm>

namespace lacewing::soak
{
namespace
{

/** Requests that were sent within this time of a stop may be cut if they last until the end of the grace period. */
constexpr Duration excusedTime = 3s;
constexpr int excusedGraceShare = 6; ///< the last sixth
/** A planned stop is over this long after the grace period. */
constexpr Duration stopMargin = 1s;

} // namespace

void Promises::onSent(const std::string &request, Repeatable repeatable, std::size_t vm, Time now)
{
    Request &entry = requests_[request];
    entry.repeatable = repeatable;
    sentAgain_ += entry.sends.empty() ? 0 : 1;
    entry.sends.push_back({ vm, now, false, {}, {} });
    entry.events.emplace_back(now, "sent to vm " + std::to_string(vm));
}

void Promises::onRun(const std::string &request, const std::string &endpoint, const std::string &connection, Time now)
{
    Request &entry = requests_[request];
    entry.runs.push_back({ endpoint, now });
    entry.events.emplace_back(now, "runs at " + endpoint + " from " + connection);
}

void Promises::onRejected(const std::string &request, const std::string &details, Time now)
{
    requests_[request].events.emplace_back(now, details);
}

void Promises::onAnswered(const std::string &request, const std::string &body)
{
    requests_[request].bodies.push_back(body);
}

void Promises::onForeignInputs(const std::string &request, const std::string &inputs)
{
    others_.push_back("MIXED: " + request + " ran with the inputs " + inputs);
}

void Promises::onOutcome(const std::string &request, Outcome outcome, Time now)
{
    Request &entry = requests_[request];
    Send &send = entry.sends.back();
    send.hasEnded = true;
    send.endedAt = now;
    served_ += outcome.status == 200 && outcome.isComplete ? 1 : 0;
    ++ended_;
    entry.events.emplace_back(now, "caller got " + std::to_string(outcome.status));
    send.outcome = std::move(outcome);
}

void Promises::onProcessEnded(std::size_t vm)
{
    others_.push_back("LOST: the process of vm " + std::to_string(vm) + " ended by itself");
}

void Promises::onPlannedStop(std::size_t vm, Time stoppedAt, Duration grace)
{
    stops_.push_back({ vm, stoppedAt, grace });
}

bool Promises::isExcused(const Send &send, const Stop &stop)
{
    const bool wasEarly = send.sentAt <= stop.at + excusedTime;
    return wasEarly && send.endedAt >= stop.at + stop.grace - stop.grace / excusedGraceShare;
}

/** Tells what callers and endpoints saw of a request, in ms from its first send. */
std::string Promises::describe(const std::string &id, const Request &request)
{
    std::string text = id;
    const Time first = request.events.front().first;
    for (const auto &[at, event] : request.events) {
        text += (text == id ? ": " : "; ") + std::to_string(toMilliseconds(at - first)) + " " + event;
    }
    return text;
}

void Promises::checkSend(const std::string &id,
                         const Request &request,
                         std::size_t index,
                         std::vector<std::string> &lines) const
{
    const Send &send = request.sends[index];
    const auto &outcome = send.outcome;
    bool hasRun = false;
    bool ranLater = false;
    for (const auto &run : request.runs) {
        const bool isOfSend =
            run.at >= send.sentAt && (index + 1 == request.sends.size() || run.at < request.sends[index + 1].sentAt);
        hasRun = hasRun || (isOfSend && run.at <= send.endedAt);
        ranLater = ranLater || (isOfSend && run.at > send.endedAt);
    }
    if (request.repeatable == Repeatable::No && platform_standin::promisesNotRun(outcome.status)) {
        if (hasRun) {
            lines.push_back("REFUSED, had run: " + describe(id, request));
        }
        if (ranLater) {
            lines.push_back("REFUSED, ran later: " + describe(id, request));
        }
    }
    const bool isSuccess = outcome.status == 200 && outcome.isComplete;
    const bool isOwn = std::find(request.bodies.begin(), request.bodies.end(), outcome.body) != request.bodies.end();
    if (isSuccess && !isOwn) {
        lines.push_back("MIXED: " + id + " got: " + outcome.body);
    }
    for (const auto &stop : stops_) {
        const bool isCut = !outcome.isComplete && (hasRun || ranLater);
        const bool isDuring =
            send.vm == stop.vm && send.endedAt >= stop.at && send.endedAt <= stop.at + stop.grace + stopMargin;
        if (isCut && isDuring && !isExcused(send, stop)) {
            lines.push_back("LOST: cut " + std::to_string(toMilliseconds(send.endedAt - stop.at))
                            + " ms after the stop of its vm, sent at "
                            + std::to_string(toMilliseconds(send.sentAt - stop.at)) + ": " + describe(id, request));
        }
    }
}

std::vector<std::string> Promises::broken() const
{
    std::vector<std::string> lines = others_;
    for (const auto &[id, request] : requests_) {
        if (request.repeatable == Repeatable::No && request.runs.size() > 1) {
            lines.push_back("TWICE: " + describe(id, request));
        }
        for (std::size_t index = 0; index < request.sends.size(); ++index) {
            if (request.sends[index].hasEnded) {
                checkSend(id, request, index, lines);
            }
        }
    }
    return lines;
}

} // namespace lacewing::soak
