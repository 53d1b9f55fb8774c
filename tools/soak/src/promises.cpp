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

std::string join(const std::vector<std::string> &texts)
{
    std::string joined;
    for (const auto &text : texts) {
        joined += (joined.empty() ? "" : ", ") + text;
    }
    return joined;
}

} // namespace

void Promises::onSent(const std::string &request, Repeatable repeatable, std::size_t vm, Time now)
{
    Request &entry = requests_[request];
    entry.repeatable = repeatable;
    entry.vm = vm;
    entry.sentAt = now;
}

void Promises::onRun(const std::string &request, const std::string &endpoint)
{
    requests_[request].runs.push_back(endpoint);
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
    entry.hasEnded = true;
    entry.endedAt = now;
    served_ += outcome.status == 200 && outcome.isComplete ? 1 : 0;
    ++ended_;
    entry.outcome = std::move(outcome);
}

void Promises::onProcessEnded(std::size_t vm)
{
    others_.push_back("LOST: the process of vm " + std::to_string(vm) + " ended by itself");
}

void Promises::onPlannedStop(std::size_t vm, Time stoppedAt, Duration grace)
{
    stops_.push_back({ vm, stoppedAt, grace });
}

bool Promises::isExcused(const Request &request, const Stop &stop)
{
    const bool wasEarly = request.sentAt <= stop.at + excusedTime;
    return wasEarly && request.endedAt >= stop.at + stop.grace - stop.grace / excusedGraceShare;
}

std::vector<std::string> Promises::broken() const
{
    std::vector<std::string> lines = others_;
    for (const auto &[id, request] : requests_) {
        const auto &outcome = request.outcome;
        const std::string ran = id + " ran at " + join(request.runs);
        if (request.repeatable == Repeatable::No && request.runs.size() > 1) {
            lines.push_back("TWICE: " + ran);
        }
        if (!request.hasEnded) {
            continue;
        }
        if (request.repeatable == Repeatable::No && platform_standin::promisesNotRun(outcome.status)
            && !request.runs.empty()) {
            lines.push_back("REFUSED: " + ran + ", its caller got " + std::to_string(outcome.status));
        }
        const bool isSuccess = outcome.status == 200 && outcome.isComplete;
        const bool isOwn =
            std::find(request.bodies.begin(), request.bodies.end(), outcome.body) != request.bodies.end();
        if (isSuccess && !isOwn) {
            lines.push_back("MIXED: " + id + " got: " + outcome.body);
        }
        for (const auto &stop : stops_) {
            const bool isCut = !outcome.isComplete && !request.runs.empty();
            const bool isDuring = request.vm == stop.vm && request.endedAt >= stop.at
                && request.endedAt <= stop.at + stop.grace + stopMargin;
            if (isCut && isDuring && !isExcused(request, stop)) {
                lines.push_back("LOST: " + ran + ", cut " + std::to_string(toMilliseconds(request.endedAt - stop.at))
                                + " ms after the stop of its vm, sent at "
                                + std::to_string(toMilliseconds(request.sentAt - stop.at)));
            }
        }
    }
    return lines;
}

} // namespace lacewing::soak
