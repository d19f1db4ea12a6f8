/// \file
/// Program `pimentoladder-check-history`; docs/history.md describes it.

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include "history/Checker.h"
#include "history/EventJson.h"

ABSL_FLAG(absl::Duration, withdrawal_delay, absl::Seconds(3), "P4, P8: delay until a withdrawn server receives no new work");
ABSL_FLAG(absl::Duration, in_force_delay, absl::Seconds(5), "P10: delay until an accepted change is in force");
ABSL_FLAG(absl::Duration, limit_delay, absl::Milliseconds(1100), "P3: how long a request may start with a grant issued under an earlier limit");
ABSL_FLAG(std::uint32_t, shown, 20, "maximum of violations shown for each promise");

namespace pimentoladder::history {
namespace {

    constexpr int unreadableHistoryExitCode = 2;

    nlohmann::json format(const check_result& result)
    {
        nlohmann::json shown = nlohmann::json::array();
        for (const violation& entry : result.violations) {
            if (shown.size() < absl::GetFlag(FLAGS_shown))
                shown.push_back({ { "at", entry.at.time_since_epoch().count() }, { "message", entry.message } });
        }
        return { { "checked", result.checked }, { "violations", result.violations.size() }, { "shown", std::move(shown) } };
    }

    int run(const std::vector<char*>& arguments)
    {
        event_list events;
        for (std::size_t i = 1; i < arguments.size(); ++i) {
            const std::filesystem::path path = arguments[i];
            std::ifstream file(path);
            const result<void> read = file ? readEvents(file, path.stem().string(), events) : makeError(error_kind::notFound, "cannot be read; check the path");
            if (!read) {
                std::cerr << path.string() << ": " << read.error().message << '\n';
                return unreadableHistoryExitCode;
            }
        }
        sortByTime(events);
        const history_index index(events);
        const check_settings settings {
            absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_withdrawal_delay)),
            absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_in_force_delay)),
            absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_limit_delay)),
        };
        nlohmann::json report { { "events", events.size() }, { "coldOverload", coldOverload(index) } };
        bool isKept = true;
        for (const check_result& entry : checkHistory(index, settings)) {
            report["promises"][std::string(entry.promise)] = format(entry);
            isKept = isKept && entry.violations.empty();
        }
        std::cout << report.dump(2) << '\n';
        return isKept ? EXIT_SUCCESS : EXIT_FAILURE;
    }

}
}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Checks histories against the promises P3 to P10; see docs/history.md. Arguments: history files.");
    return pimentoladder::history::run(absl::ParseCommandLine(argc, argv));
}
