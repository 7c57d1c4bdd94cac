#include "bench/history_p.h"

#include <iostream>

using namespace vanillalift::bench;

namespace {

int check(const std::string& folder)
{
    auto history = readHistory(folder);
    if (!history) {
        std::cerr << history.error().place << ": " << history.error().reason << "\n";
        return 2;
    }
    auto violations = checkHistory(*history);
    auto summary = summarize(*history);
    std::cout << toTable(summary) << toJson(summary).dump() << "\n";
    for (const auto& it : violations)
        std::cout << "violated " << promiseName(it.promise) << ": " << it.detail << "\n";
    std::cout << history->calls.size() << " calls, " << history->attempts.size() << " attempts, " << violations.size() << " violations\n";
    return violations.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3 || std::string_view(argv[1]) != "check") {
        std::cerr << "usage: vanillalift-bench check DIR\n";
        return 2;
    }
    return check(argv[2]);
}
