#include <stages/stages.h>

#include <algorithm>

namespace lacewing::stages
{
namespace
{

/** A report counts for this time: some beacons of the VM that told it. */
constexpr Duration reportLife = 1200ms;
/** Another cell must be sooner by this: results then cross zones. */
constexpr Duration otherCellMargin = 120ms;

} // namespace

void CellChooser::updateLoads(const CellId &cell, const std::vector<ServiceLoad> &waits, Time now)
{
    reports_[cell] = { waits, now };
}

std::optional<Duration> CellChooser::estimateTime(const CellId &cell,
                                                  std::span<const StageDemand> steps,
                                                  Time now) const
{
    const auto found = reports_.find(cell);
    if (found == reports_.end() || now - found->second.at > reportLife) {
        return std::nullopt;
    }
    std::vector<Duration> doneAt(steps.size());
    Duration last {};
    for (std::size_t index = 0; index < steps.size(); ++index) {
        const StageDemand &step = steps[index];
        Duration ready {};
        for (const auto before : step.dependencies) {
            ready = std::max(ready, doneAt[before]);
        }
        doneAt[index] = ready;
        if (step.pieceCount == 0) {
            continue;
        }
        const auto &waits = found->second.waits;
        const auto wait = std::find_if(
            waits.begin(), waits.end(), [&](const ServiceLoad &each) { return each.service == step.service; });
        if (wait == waits.end()) {
            return std::nullopt; // nothing there makes these pieces
        }
        doneAt[index] = std::max(ready, wait->queueTime) + wait->callTime;
        last = std::max(last, doneAt[index]);
    }
    return last;
}

CellId CellChooser::choose(const CellId &preferred, std::span<const StageDemand> steps, Time now, Random &random) const
{
    const auto here = estimateTime(preferred, steps, now);
    std::vector<std::pair<CellId, Duration>> others;
    for (const auto &[cell, report] : reports_) {
        const auto time = cell == preferred ? std::nullopt : estimateTime(cell, steps, now);
        if (time) {
            others.emplace_back(cell, *time);
        }
    }
    if (others.empty()) {
        return preferred;
    }
    std::sort(others.begin(), others.end());
    const auto &[cell, time] = others[random.below(others.size())];
    return !here || time + otherCellMargin < *here ? cell : preferred;
}

} // namespace lacewing::stages
