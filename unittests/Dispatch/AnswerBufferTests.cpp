#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <numeric>
#include <vector>

#include "pimentoladder/Dispatch/AnswerBuffers.h"

using namespace pimentoladder;

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t socketRead = 16 * kibibyte;

/// Answers of endless length from servers that are read as fast as the policy allows.
struct endless_answers {
    endless_answers(std::size_t count, const answer_buffer_limits& limits)
        : policy(limits)
        , waiting(count)
        , isPaused(count)
    {
    }

    std::size_t all() const { return std::accumulate(waiting.begin(), waiting.end(), std::size_t { 0 }); }

    void read(std::size_t index, std::size_t bytes)
    {
        if (isPaused[index])
            return;
        waiting[index] += bytes;
        isPaused[index] = policy.shouldPause(waiting[index], all());
    }

    void take(std::size_t index, std::size_t bytes)
    {
        const std::size_t resumeAt = policy.resumeAt(all());
        waiting[index] -= std::min(waiting[index], bytes);
        if (waiting[index] <= resumeAt)
            isPaused[index] = false;
    }

    answer_buffers policy;
    std::vector<std::size_t> waiting;
    std::vector<bool> isPaused;
};

}

// Guards against a router that ends for want of memory, because many callers do not read and
// each of their answers keeps what one alone may keep.
TEST_CASE("answers without end to callers that do not read stay within the limit of all together")
{
    const answer_buffer_limits limits { 256 * kibibyte, 20 * kibibyte * kibibyte };
    for (const std::size_t count : { 1, 80, 900, 2500 }) {
        endless_answers answers(count, limits);
        for (int round = 0; round < 40; ++round) {
            for (std::size_t i = 0; i < count; ++i)
                answers.read(i, socketRead);
        }
        CAPTURE(count);
        CHECK(answers.all() <= limits.total + count * (answer_buffers::pressedEach + socketRead));
        CHECK(answers.all() <= count * (limits.each + socketRead));
    }
}

// Guards against an answer that no longer progresses after its caller has begun to read.
TEST_CASE("each answer progresses whenever its caller reads, in any order")
{
    rc::check([] {
        const answer_buffer_limits limits { 64 * kibibyte, 512 * kibibyte };
        constexpr std::size_t count = 40;
        endless_answers answers(count, limits);
        const auto steps = *rc::gen::container<std::vector<std::pair<std::size_t, std::size_t>>>(
            rc::gen::pair(rc::gen::inRange<std::size_t>(0, count), rc::gen::inRange<std::size_t>(0, 2 * socketRead)));
        for (const auto& [index, bytes] : steps) {
            if (bytes % 2 == 0)
                answers.read(index, std::min(bytes, socketRead));
            else
                answers.take(index, bytes);
            RC_ASSERT(answers.all() <= limits.total + count * (answer_buffers::pressedEach + socketRead));
        }
        for (std::size_t i = 0; i < count; ++i) {
            answers.take(i, limits.each + socketRead);
            RC_ASSERT(!answers.isPaused[i]);
        }
        RC_ASSERT(answers.all() == 0U);
    });
}
