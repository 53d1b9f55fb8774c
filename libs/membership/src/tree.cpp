#include <membership/membership.h>

#include <algorithm>
#include <cmath>

namespace lacewing::membership
{
namespace
{

/** Zones with at most this many VMs have no inner nodes. */
constexpr std::size_t maxFlatSize = 8;

struct Ranked {
    VmId vm;
    std::uint64_t rank = 0;
};

/** Makes a tree of VMs, of which those with the highest ranks are the root and the inner nodes. */
Tree makeTree(std::vector<Ranked> vms)
{
    std::sort(vms.begin(), vms.end(), [](const auto &a, const auto &b) {
        return a.rank != b.rank ? a.rank > b.rank : a.vm < b.vm;
    });
    const auto innerCount =
        vms.size() > maxFlatSize ? static_cast<std::size_t>(std::lround(std::sqrt(double(vms.size())))) : 0;
    Tree tree { vms.front().vm, {}, {} };
    for (std::size_t index = 1; index < vms.size(); ++index) {
        (index <= innerCount ? tree.inner : tree.leaves).push_back(vms[index].vm);
    }
    std::sort(tree.leaves.begin(), tree.leaves.end());
    return tree;
}

} // namespace

std::array<Tree, treeCount> makeTrees(std::span<const VmId> candidates)
{
    constexpr unsigned demotion = 32; // bits: the others have higher ranks
    std::array<Tree, treeCount> trees;
    std::set<VmId> taken;
    for (std::size_t index = 0; index < treeCount; ++index) {
        std::vector<Ranked> ranked;
        for (const auto &vm : candidates) {
            const std::uint64_t rank = hashBytes(vm.text(), index + 1);
            ranked.push_back({ vm, taken.contains(vm) ? rank >> demotion : rank });
        }
        trees[index] = makeTree(std::move(ranked));
        taken.insert(trees[index].root);
        taken.insert(trees[index].inner.begin(), trees[index].inner.end());
    }
    return trees;
}

std::optional<VmId> parentIn(const Tree &tree, const VmId &vm)
{
    if (vm == tree.root) {
        return std::nullopt;
    }
    if (tree.inner.empty() || std::find(tree.inner.begin(), tree.inner.end(), vm) != tree.inner.end()) {
        return tree.root;
    }
    std::vector<std::string> inner;
    for (const auto &node : tree.inner) {
        inner.push_back(node.text());
    }
    // Rendezvous hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018).
    const std::size_t maxLoad = (tree.leaves.size() + inner.size() - 1) / inner.size() + 1;
    std::vector<std::size_t> loads(inner.size());
    for (const auto &leaf : tree.leaves) {
        const auto preferred = rendezvous(leaf.text(), inner, inner.size());
        const auto chosen = *std::find_if(
            preferred.begin(), preferred.end(), [&](std::size_t index) { return loads[index] < maxLoad; });
        ++loads[chosen];
        if (leaf == vm) {
            return tree.inner[chosen];
        }
    }
    return tree.root;
}

} // namespace lacewing::membership
