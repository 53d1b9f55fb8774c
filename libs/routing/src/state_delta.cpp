#include <routing/routing.h>

#include <boost/outcome/try.hpp>

namespace lacewing::routing
{
namespace
{

template <typename T>
ListDelta<T> makeListDelta(const std::vector<StatePart<T>> &base, const std::vector<StatePart<T>> &parts)
{
    std::unordered_map<std::uint64_t, std::uint32_t> positions;
    positions.reserve(base.size());
    for (std::uint32_t position = 0; position < base.size(); ++position) {
        positions.emplace(base[position].digest(), position);
    }
    ListDelta<T> delta;
    for (const auto &part : parts) {
        const auto found = positions.find(part.digest());
        if (found == positions.end()) {
            if (delta.runs.empty()) {
                delta.runs.push_back({});
            }
            delta.runs.back().added.push_back(*part);
            continue;
        }
        const bool isNext = !delta.runs.empty() && delta.runs.back().added.empty()
            && delta.runs.back().first + delta.runs.back().count == found->second;
        if (isNext) {
            ++delta.runs.back().count;
        } else {
            delta.runs.push_back({ found->second, 1, {} });
        }
    }
    return delta;
}

template <typename T>
Result<std::vector<StatePart<T>>> applyListDelta(const std::vector<StatePart<T>> &base, const ListDelta<T> &delta)
{
    std::vector<StatePart<T>> parts;
    for (const auto &run : delta.runs) {
        if (run.count > base.size() || run.first > base.size() - run.count) {
            return failure(ErrorKind::Malformed, "delta refers to parts that its base does not have");
        }
        const auto first = base.begin() + run.first;
        parts.insert(parts.end(), first, first + run.count);
        parts.insert(parts.end(), run.added.begin(), run.added.end());
    }
    return parts;
}

template <typename T>
std::uint64_t addDigests(const std::vector<StatePart<T>> &parts, std::uint64_t seed)
{
    std::vector<std::uint64_t> digests;
    digests.reserve(parts.size());
    for (const auto &part : parts) {
        digests.push_back(part.digest());
    }
    return hashBytes({ reinterpret_cast<const char *>(digests.data()), digests.size() * sizeof(digests[0]) }, seed);
}

} // namespace

std::uint64_t digestOf(const DesiredState &state)
{
    std::uint64_t digest = hashBytes(wire::encode(state.general));
    digest = addDigests(state.routes, digest);
    digest = addDigests(state.services, digest);
    return addDigests(state.keyHolders, digest);
}

StateDelta makeDelta(const DesiredState *base, const DesiredState &state)
{
    static const DesiredState none;
    const DesiredState &from = base != nullptr ? *base : none;
    StateDelta delta;
    delta.baseDigest = base != nullptr ? digestOf(*base) : 0;
    delta.version = state.version;
    delta.digest = digestOf(state);
    delta.general = state.general;
    delta.routes = makeListDelta(from.routes, state.routes);
    delta.services = makeListDelta(from.services, state.services);
    delta.keyHolders = makeListDelta(from.keyHolders, state.keyHolders);
    delta.coldStarts = state.coldStarts;
    return delta;
}

Result<DesiredState> applyDelta(const DesiredState *base, const StateDelta &delta)
{
    static const DesiredState none;
    if (delta.baseDigest != 0 && (base == nullptr || digestOf(*base) != delta.baseDigest)) {
        return failure(ErrorKind::Malformed, "delta of another base");
    }
    const DesiredState &from = delta.baseDigest != 0 ? *base : none;
    DesiredState state;
    state.version = delta.version;
    state.general = delta.general;
    BOOST_OUTCOME_TRY(routes, applyListDelta(from.routes, delta.routes));
    BOOST_OUTCOME_TRY(services, applyListDelta(from.services, delta.services));
    BOOST_OUTCOME_TRY(keyHolders, applyListDelta(from.keyHolders, delta.keyHolders));
    state.routes = std::move(routes);
    state.services = std::move(services);
    state.keyHolders = std::move(keyHolders);
    state.coldStarts = delta.coldStarts;
    if (digestOf(state) != delta.digest) {
        return failure(ErrorKind::Malformed, "delta leads to another state than it names");
    }
    return state;
}

} // namespace lacewing::routing
