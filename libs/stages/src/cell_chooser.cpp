#include <stages/stages.h>

#include <algorithm>

namespace lacewing::stages
{
namespace
{

/** Age up to which a load report is used; covers several beacons of the reporting VM. */
constexpr Duration reportValidity = 1200ms;
/** Minimum gain in time for another cell, as results are then transferred between zones. */
constexpr Duration minGainOfOtherCell = 120ms;

} // namespace

void CellChooser::updateLoads(const CellId &cell, const std::vector<ServiceLoad> &loads, Time now)
{
    reports_[cell] = { loads, now };
}

std::optional<Duration> CellChooser::estimateTime(const CellId &cell,
                                                  std::span<const StageDemand> demands,
                                                  Time now) const
{
    const auto found = reports_.find(cell);
    if (found == reports_.end() || now - found->second.receivedAt > reportValidity) {
        return std::nullopt;
    }
    std::vector<Duration> completedAt(demands.size());
    Duration completion {};
    for (std::size_t index = 0; index < demands.size(); ++index) {
        const StageDemand &demand = demands[index];
        Duration ready {};
        for (const auto dependency : demand.dependencies) {
            ready = std::max(ready, completedAt[dependency]);
        }
        completedAt[index] = ready;
        if (demand.pieceCount == 0) {
            continue;
        }
        const auto &loads = found->second.loads;
        const auto load = std::find_if(
            loads.begin(), loads.end(), [&](const ServiceLoad &each) { return each.service == demand.service; });
        if (load == loads.end()) {
            return std::nullopt; // the cell has no endpoint for this service
        }
        completedAt[index] = std::max(ready, load->queueTime) + load->callTime;
        completion = std::max(completion, completedAt[index]);
    }
    return completion;
}

CellId CellChooser::choose(const CellId &preferred,
                           std::span<const StageDemand> demands,
                           Time now,
                           Random &random) const
{
    const auto preferredTime = estimateTime(preferred, demands, now);
    std::vector<std::pair<CellId, Duration>> others;
    for (const auto &[cell, report] : reports_) {
        const auto time = cell == preferred ? std::nullopt : estimateTime(cell, demands, now);
        if (time) {
            others.emplace_back(cell, *time);
        }
    }
    if (others.empty()) {
        return preferred;
    }
    std::sort(others.begin(), others.end());
    const auto &[cell, time] = others[random.below(others.size())];
    return !preferredTime || time + minGainOfOtherCell < *preferredTime ? cell : preferred;
}

} // namespace lacewing::stages
