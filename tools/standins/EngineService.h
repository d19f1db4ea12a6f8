/// \file
/// Stand-in for a model engine: serves the streams of `engine_model` over HTTP.

#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "standins/EngineModel.h"
#include "standins/LaggedValue.h"
#include "standins/Service.h"
#include "support/Digest.h"

namespace pimentoladder::standins {

struct engine_service_settings {
    engine_settings model;
    duration loadLag = std::chrono::milliseconds(500);
    duration cacheEventLag = std::chrono::seconds(1);
    double cacheEventLoss = 0.05; ///< Fraction of cache events that are never published.
    duration loadTime = std::chrono::seconds(2); ///< Time from a load order until the model is loaded.
    duration resumeWindow = std::chrono::seconds(10); ///< How long a stream without a caller can be resumed.
    bool isFenced = true; ///< Whether orders with an old fencing token are refused.
    std::string crashMarker = "crash-marker"; ///< A request whose body contains this text crashes the process.
    std::string initialModel = "base"; ///< Model that is loaded at startup.
    std::string dataCentre;
};

/// Not thread-safe; call on the loop's thread.
class engine_service {
public:
    engine_service(service_context context, engine_service_settings settings);

    void handle(const exchange_ptr& exchange);

private:
    /// A stream, from its start until it can no longer be resumed.
    struct stream_record {
        std::uint64_t salt = 0;
        std::uint32_t promptTokens = 0;
        std::uint32_t generated = 0;
        std::uint32_t total = 0;
        std::string loadId;
        tools::body_digest digest;
        exchange_ptr caller; ///< Null while no caller is attached.
        bool hasHead = false; ///< Whether the response head was sent to the caller.
        bool isEnded = false;
        std::optional<std::uint32_t> resetAt;
        std::optional<std::uint32_t> truncateAt;
        tools::loop::timer_number expiry = 0;
    };

    struct load_report {
        time_point at;
        std::size_t inFlight = 0;
        bool isCold = true;
        std::uint64_t finished = 0;
        std::set<std::string> models;
    };

    struct timed_cache_event {
        time_point at;
        cache_event event;
    };

    void handleFault(const exchange_ptr& exchange);
    void handleGenerate(const exchange_ptr& exchange);
    void handleResume(const exchange_ptr& exchange);
    void handleCancel(const exchange_ptr& exchange);
    void handleLoad(const exchange_ptr& exchange);
    void handleCacheEvents(const exchange_ptr& exchange);
    void handleOrder(const exchange_ptr& exchange);
    void handleOrderState(const exchange_ptr& exchange);

    void crash(const exchange_ptr& exchange);
    void takeStreamFaults(stream_number number, stream_record& record);
    void scheduleStep();
    void step();
    void advance(stream_number number);
    void endStream(stream_number number, stream_record& record);
    void attach(stream_number number, stream_record& record, const exchange_ptr& exchange);
    /// Pauses the stream if \p caller is the one attached to it.
    void detach(stream_number number, const tools::http_exchange* caller);
    void expireLater(stream_number number, stream_record& record);
    void expire(stream_number number);
    /// Applies a pending truncate or reset fault. Returns whether one applied.
    bool injectStreamFault(stream_number number, stream_record& record);
    void send(stream_number number, stream_record& record, const std::string& text);
    void recordEvent(const char* kind, stream_number number, nlohmann::json fields);
    /// Writes an event to the history if the engine became cold or warm.
    void recordColdState();
    void reportLoad();
    void publishCacheEvents();
    std::string streamName(stream_number number) const;
    stream_number streamOf(const exchange_ptr& exchange) const;

    service_context m_context;
    engine_service_settings m_settings;
    engine_model m_model;
    fault_plan m_faults;
    random_source m_random;
    std::uint64_t m_incarnation;
    std::map<stream_number, stream_record> m_streams;
    bool m_isStepScheduled = false;
    bool m_isColdAnnounced = true;
    bool m_wasCold = true;
    std::uint64_t m_finished = 0;
    lagged_value<load_report> m_reportedLoad;
    std::deque<timed_cache_event> m_cacheEvents;
    std::set<std::string> m_models;
    std::set<std::string> m_loading;
    std::string m_role = "generate";
    std::uint64_t m_highestToken = 0;
};

}
