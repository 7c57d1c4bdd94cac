#include <catch2/catch.hpp>

#include "endpoint_sim.h"
#include "jobs/step_advice_p.h"

using namespace vanillalift;
using namespace vanillalift::sim;
using std::chrono::seconds;

namespace {

/// A site whose only queue asks for advice. The advice service answers every 100 ms.
struct AdvisedSite {
    AdvisedSite(uint64_t seed, size_t endpointCount)
        : site(seed, endpointCount)
    {
        auto catalog = site.leader.store.catalog();
        catalog.version = 2;
        catalog.queues.front().isAdvised = true;
        catalog.queues.front().advice = { 20, 1, 3000 };
        site.leader.propose(PutCatalog { catalog });
        answer();
    }

    void answer()
    {
        for (auto& it : std::exchange(site.leader.advice.pendingRequests, {})) {
            requestSizes.push_back(it.endpoints.size());
            AdviceReply reply;
            reply.allowed.emplace();
            reply.validMs = 3000;
            for (const auto& id : it.endpoints) {
                if (allowed.contains(id))
                    reply.allowed->push_back({ id, "ticket-" + id });
            }
            it.answer(reply);
        }
        site.world.eventQueue.after(milliseconds(100), [this] { answer(); });
    }

    Site site;
    std::set<std::string> allowed;
    std::vector<size_t> requestSizes;
};

std::vector<StepAdvice::Candidate> candidatesOf(const std::vector<std::string>& ids)
{
    std::vector<StepAdvice::Candidate> candidates;
    candidates.reserve(ids.size());
    for (const auto& it : ids)
        candidates.push_back({ it, 1, true, 1000 });
    return candidates;
}

} // namespace

// Guards against a job that never starts because the advice service is asked about the same endpoints over and over.
TEST_CASE("in a pool larger than one request, the advice service is asked about every endpoint", "[advice]")
{
    AdvisedSite advised(1, 120);
    auto& site = advised.site;
    // The allowed endpoints come last in the order of free CPU.
    for (const auto* id : { "e7", "e70" }) {
        site.endpoint(id).setCapacity({ 3000, 4000, 0 });
        advised.allowed.insert(id);
    }
    site.run(seconds(1));
    site.submit("a", 2);
    site.run(seconds(4));
    CHECK(site.job("a").phase == JobPhase::Completed);
    CHECK(*std::max_element(advised.requestSizes.begin(), advised.requestSizes.end()) <= config::maxAdvisedEndpoints);
}

// The same for a job whose allowed endpoints are in use, while others that it may run on have not been asked about.
TEST_CASE("with all known allowed endpoints in use, the advice service is asked about the others", "[advice]")
{
    for (bool isGang : { false, true }) {
        AdvisedSite advised(2, 130);
        auto& site = advised.site;
        advised.allowed = { "e0", "e50" };
        site.submit("lasting", 8, true);
        site.run(seconds(3));
        REQUIRE(site.endpoint("e0").used.cpu + site.endpoint("e50").used.cpu == 8000);
        // Allowed, but last in the order of free CPU.
        site.endpoint("e129").setCapacity({ 3000, 4000, 0 });
        advised.allowed.insert("e129");
        site.run(seconds(1));
        JobSpec spec;
        spec.id = "a";
        StepSpec step;
        step.taskCount = 2;
        step.need = { 1000, 100, 0 };
        step.estimateMs = 800;
        step.isGang = isGang;
        spec.steps.push_back(step);
        site.submit(spec);
        site.run(seconds(6));
        INFO("gang " << isGang);
        CHECK(site.job("a").hasStarted);
    }
}

TEST_CASE("every endpoint is asked about before any is asked about again, even if answers hold only briefly", "[advice]")
{
    constexpr size_t poolSize = 542;
    std::vector<std::string> ids;
    for (size_t n = 0; n < poolSize; n++)
        ids.push_back("i-" + std::to_string(n));
    auto candidates = candidatesOf(ids);
    StepAdvice advice;
    TimePoint now { std::chrono::hours(1) };
    std::set<std::string> asked;
    constexpr size_t requests = (poolSize + config::maxAdvisedEndpoints - 1) / config::maxAdvisedEndpoints;
    for (size_t n = 0; n < requests; n++) {
        auto subjects = advice.selectForRequest(candidates, config::maxAdvisedEndpoints, now);
        CHECK(subjects.size() <= config::maxAdvisedEndpoints);
        for (const auto& it : subjects)
            CHECK((asked.insert(it.endpoint).second || n + 1 == requests));
        advice.record(subjects, {}, now, milliseconds(500));
        now += seconds(1);
    }
    CHECK(asked.size() == poolSize);
}

TEST_CASE("an answer about an endpoint holds for its validity and its incarnation only", "[advice]")
{
    StepAdvice advice;
    TimePoint now { std::chrono::hours(1) };
    std::vector<std::string> ids { "a", "b" };
    auto candidates = candidatesOf(ids);
    auto subjects = advice.selectForRequest(candidates, 10, now);
    REQUIRE(subjects.size() == 2);
    std::vector<Advice> allowed { { "b", "t" } };
    advice.record(subjects, allowed, now, seconds(3));
    CHECK(advice.allowedEndpoints(now) == std::vector<std::string> { "b" });
    CHECK(advice.ticketOf("b") == "t");
    CHECK(advice.selectForRequest(candidates, 10, now).empty());
    candidates[0].startedAtMs = 2;
    CHECK(advice.selectForRequest(candidates, 10, now).size() == 1);
    CHECK(advice.allowedEndpoints(now + seconds(3)).empty());
    // Those allowed before are asked about first.
    CHECK(advice.selectForRequest(candidates, 10, now + seconds(3)).front().endpoint == "b");
    advice.forget("b");
    CHECK(advice.allowedEndpoints(now).empty());
}
