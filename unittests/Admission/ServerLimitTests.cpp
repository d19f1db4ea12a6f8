#include "pimentoladder/Admission/ServerLimit.h"

#include <doctest/doctest.h>

using namespace pimentoladder;
using namespace std::chrono_literals;

namespace {

server_limit_settings range(std::uint32_t floor, std::uint32_t ceiling)
{
    server_limit_settings settings;
    settings.floor = floor;
    settings.ceiling = ceiling;
    return settings;
}

time_point at(duration sinceStart)
{
    return time_point(sinceStart);
}

void finishInTime(server_limit& limit, int count, time_point now)
{
    for (int i = 0; i < count; ++i)
        limit.onFinished(now, 50ms, now);
}

}

// Guards against a new server that receives its full load at once and is overloaded.
TEST_CASE("a new server starts at its floor and grows by one for each full round")
{
    server_limit limit(range(2, 5));
    CHECK(limit.limit() == 2);
    CHECK(limit.isCold());
    finishInTime(limit, 1, at(1s));
    CHECK(limit.limit() == 2);
    finishInTime(limit, 1, at(1s));
    CHECK(limit.limit() == 3);
    finishInTime(limit, 100, at(1s));
    CHECK(limit.limit() == 5);
    CHECK_FALSE(limit.isCold());
}

// Guards against a server that turns cold without notice and keeps its full load.
TEST_CASE("a late first byte drops the limit to the floor at once")
{
    server_limit limit(range(1, 8));
    finishInTime(limit, 60, at(1s));
    limit.onFinished(at(1s), 190ms, at(2s));
    CHECK(limit.limit() == 8);
    limit.onFinished(at(1s), 260ms, at(2s));
    CHECK(limit.limit() == 1);
}

// Guards against results from before a drop of the limit that count as recovery.
TEST_CASE("requests granted before a drop do not raise the limit of a cold server")
{
    server_limit limit(range(1, 8));
    finishInTime(limit, 60, at(1s));
    CHECK_FALSE(limit.onFailed(at(1s), at(2s)));
    for (int i = 0; i < 10; ++i)
        limit.onFinished(at(1s), 50ms, at(2s));
    CHECK(limit.limit() == 1);
    limit.onFinished(at(2s), 50ms, at(3s));
    CHECK(limit.limit() == 2);
}

// Guards against a lasting change of the workload that keeps a healthy server at its
// floor forever.
TEST_CASE("a lasting rise of the latency becomes the new baseline")
{
    server_limit limit(range(1, 8));
    finishInTime(limit, 60, at(1s));
    for (int i = 0; i < 100; ++i)
        limit.onFinished(at(2s + i * 1s), 500ms, at(2s + i * 1s));
    CHECK(limit.limit() == 8);
}

// Guards against one crash that ejects a server because many requests were in flight.
TEST_CASE("one crash counts as one failure, consecutive failures request ejection")
{
    server_limit limit(range(1, 8));
    finishInTime(limit, 60, at(1s));
    for (int i = 0; i < 8; ++i)
        CHECK_FALSE(limit.onFailed(at(1s), at(2s)));
    CHECK_FALSE(limit.onFailed(at(2s), at(3s)));
    CHECK(limit.onFailed(at(3s), at(4s)));
}

// Guards against an ejected server that is never tried again, or is flooded when it is.
TEST_CASE("an ejected server is probed with one request, and each ejection is longer")
{
    server_limit limit(range(2, 8));
    limit.eject(at(10s));
    CHECK(limit.limit() == 0);
    limit.onTick(at(10999ms));
    CHECK(limit.limit() == 0);
    limit.onTick(at(11s));
    CHECK(limit.limit() == 1);
    CHECK(limit.isOutOfRotation());
    CHECK_FALSE(limit.onFailed(at(9s), at(11s)));
    CHECK(limit.onFailed(at(11s), at(12s)));
    limit.eject(at(12s));
    limit.onTick(at(13s));
    CHECK(limit.limit() == 0);
    limit.onTick(at(14s));
    limit.onFinished(at(14s), 50ms, at(15s));
    CHECK(limit.limit() == 2);
    CHECK_FALSE(limit.isOutOfRotation());
}

// Guards against a restarted server that receives the load of its previous incarnation.
TEST_CASE("a new incarnation or a report of coldness drops the limit, a late report of an old one does not")
{
    server_limit limit(range(1, 8));
    limit.onLoadReport(incarnation(5), false, at(0s));
    finishInTime(limit, 60, at(1s));
    CHECK(limit.limit() == 8);
    limit.onLoadReport(incarnation(4), true, at(2s));
    CHECK(limit.limit() == 8);
    limit.onLoadReport(incarnation(6), false, at(2s));
    CHECK(limit.limit() == 1);
    finishInTime(limit, 60, at(3s));
    limit.onLoadReport(incarnation(6), true, at(4s));
    CHECK(limit.limit() == 1);
}

// Guards against jitter of fast servers that is taken for a cold server.
TEST_CASE("a short latency is never cold")
{
    server_limit limit(range(1, 2));
    for (int i = 0; i < 20; ++i)
        limit.onFinished(at(1s), 1ms, at(1s));
    limit.onFinished(at(1s), 19ms, at(2s));
    CHECK(limit.limit() == 2);
}
