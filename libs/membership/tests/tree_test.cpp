#include <membership/membership.h>

#include <algorithm>
#include <map>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::membership;

namespace
{

std::vector<VmId> makeVms(std::size_t count)
{
    std::vector<VmId> vms;
    for (std::size_t vm = 0; vm < count; ++vm) {
        vms.emplace_back("front-" + std::to_string(vm));
    }
    return vms;
}

struct ZoneCase {
    std::size_t vms;
    std::size_t maxChildren;
    std::size_t maxDepth;
};

ZoneCase zoneCases[] = {
    { 1, 0, 0 }, { 2, 1, 1 }, { 8, 7, 1 }, { 9, 4, 2 }, { 20, 6, 2 }, { 53, 9, 2 }, { 120, 13, 2 },
};

} // namespace

ParameterizedTestParameters(tree, isShallowAndItsNodesHaveFewChildren)
{
    return cr_make_param_array(ZoneCase, zoneCases, std::size(zoneCases));
}

ParameterizedTest(ZoneCase *test, tree, isShallowAndItsNodesHaveFewChildren)
{
    const auto vms = makeVms(test->vms);
    const auto trees = makeTrees(vms);
    for (const auto &tree : trees) {
        std::map<VmId, std::size_t> children;
        for (const auto &vm : vms) {
            std::size_t depth = 0;
            for (auto parent = parentIn(tree, vm); parent; parent = parentIn(tree, *parent)) {
                children[*parent] += depth == 0 ? 1 : 0;
                cr_assert_leq(++depth, test->maxDepth, "%zu vms", test->vms);
            }
        }
        for (const auto &[vm, count] : children) {
            cr_expect_leq(count, test->maxChildren, "%zu vms: %zu children", test->vms, count);
        }
    }
    if (test->vms > 1) {
        cr_expect_neq(trees[0].root, trees[1].root, "%zu vms: one root for both trees", test->vms);
    }
}

/** The two trees share no inner nodes, so the loss of one VM leaves one tree whole for all others. */
Test(tree, innerNodesOfOneAreLeavesOfTheOther)
{
    const auto trees = makeTrees(makeVms(49));
    for (const auto &vm : trees[0].inner) {
        cr_expect(std::find(trees[1].leaves.begin(), trees[1].leaves.end(), vm) != trees[1].leaves.end());
    }
    cr_expect(std::find(trees[1].leaves.begin(), trees[1].leaves.end(), trees[0].root) != trees[1].leaves.end());
}

/** The end of a leaf must not give most others new parents. */
Test(tree, fewVmsGetAnotherParentWhenALeafEnds)
{
    const auto vms = makeVms(49);
    const auto before = makeTrees(vms)[0];
    auto remaining = vms;
    std::erase(remaining, before.leaves.front());
    const auto after = makeTrees(remaining)[0];
    const auto moved = std::count_if(remaining.begin(), remaining.end(), [&](const auto &vm) {
        return parentIn(before, vm) != parentIn(after, vm);
    });
    cr_expect_leq(moved, 10);
}

Test(tree, doesNotDependOnTheOrderOfCandidates)
{
    auto vms = makeVms(30);
    const auto first = makeTrees(vms);
    std::reverse(vms.begin(), vms.end());
    const auto second = makeTrees(vms);
    for (std::size_t tree = 0; tree < treeCount; ++tree) {
        for (const auto &vm : vms) {
            cr_assert(parentIn(first[tree], vm) == parentIn(second[tree], vm));
        }
    }
}

namespace
{

struct ArrivalCase {
    char name[32];
    std::uint64_t epoch;
    std::uint64_t sequence;
    bool isNew;
};

/** Arrivals in this order. */
ArrivalCase arrivalCases[] = {
    { "first", 5, 1, true },
    { "again", 5, 1, false },
    { "later", 5, 3, true },
    { "between", 5, 2, true },
    { "between, again", 5, 2, false },
    { "far later", 5, 100, true },
    { "too old to tell", 5, 10, false },
    { "within the window", 5, 60, true },
    { "after a restart", 6, 1, true },
    { "of the former lifetime", 5, 101, false },
};

} // namespace

Test(floodFilter, acceptsEachMessageOnce)
{
    FloodFilter filter;
    for (const auto &test : arrivalCases) {
        cr_expect_eq(filter.accept(VmId("vm"), test.epoch, test.sequence), test.isNew, "%s", test.name);
    }
    cr_expect(filter.accept(VmId("other"), 5, 1));
}
