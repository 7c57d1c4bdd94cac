#include <catch2/catch.hpp>

#include "policy/run_time_model_p.h"

#include <algorithm>
#include <cmath>
#include <random>

using namespace vanillalift::jobs;

namespace {

/// Draws tasks of one queue and teaches them to a model.
struct Tasks {
    /// Spread of the run times around their mean, and of the declarations around the run time, as logarithms.
    double spread = 0;
    double error = 0;
    double meanMs = 1000;
    double tailShare = 0;
    std::mt19937 random { 7 };
    RunTimeModel model {};

    double normal(double deviation) { return std::normal_distribution<double>(0, deviation)(random); }
    /// @returns declared and actual time.
    std::pair<double, double> draw()
    {
        auto mean = meanMs * std::exp(normal(spread));
        auto declared = mean * std::exp(error > 0 ? normal(error) : 0);
        bool isLong = std::uniform_real_distribution<double>()(random) < tailShare;
        return { declared, isLong ? 7 * mean : mean };
    }
    void teach(int runs)
    {
        for (int n = 0; n < runs; n++) {
            auto [declared, actual] = draw();
            model.add({ "q", 0, declared }, actual);
        }
    }
    /// @returns the mean error of estimates, as a logarithm, over tasks that the model has not seen.
    template <typename Estimate>
    double errorOf(Estimate estimate)
    {
        double sum = 0;
        constexpr int n = 400;
        for (int it = 0; it < n; it++) {
            auto [declared, actual] = draw();
            sum += std::abs(std::log(estimate(declared) / actual));
        }
        return sum / n;
    }
    double meanOf(double declared) { return model.mean({ "q", 0, declared }); }
};

} // namespace

TEST_CASE("declarations that hold are kept, however much the tasks of a queue differ", "[runtimes]")
{
    Tasks tasks { .spread = 0.8, .error = 0.2 };
    CHECK(tasks.meanOf(700) == Approx(700).epsilon(0.01));
    tasks.teach(500);
    for (double declared : { 500.0, 1000.0, 2000.0 })
        CHECK(tasks.meanOf(declared) == Approx(declared).epsilon(0.12));
}

TEST_CASE("where declarations are off by nine tenths, the queue's history gives the estimate", "[runtimes]")
{
    for (double error : { 0.5, 0.9 }) {
        Tasks tasks { .spread = 0.3, .error = error };
        tasks.teach(400);
        auto learned = tasks.errorOf([&](double declared) { return tasks.meanOf(declared); });
        auto declared = tasks.errorOf([](double declared) { return declared; });
        CAPTURE(error, learned, declared);
        CHECK(learned < 0.7 * declared);
    }
}

TEST_CASE("a constant factor between declared and measured times is learned", "[runtimes]")
{
    Tasks tasks { .spread = 0.5 };
    for (int n = 0; n < 100; n++) {
        auto actual = tasks.draw().second;
        tasks.model.add({ "q", 0, actual / 2 }, actual);
    }
    CHECK(tasks.meanOf(500) == Approx(1000).epsilon(0.15));
}

TEST_CASE("a tail of 3 in 100 tasks shows in high quantiles and in the time left to a long run, and hardly in the median", "[runtimes]")
{
    Tasks tasks { .spread = 0.4, .error = 0.9, .tailShare = 0.03 };
    tasks.teach(2000);
    RunTimeKey key { "q", 0, 1000 };
    CHECK(tasks.model.quantile(key, 0.5) == Approx(1000).epsilon(0.2));
    CHECK(tasks.model.quantile(key, 0.9) < 2500);
    CHECK(tasks.model.quantile(key, 0.99) > 4000);
    // A run of three times the usual length is one of the tail, and takes long.
    CHECK(tasks.model.remaining(key, 100, 0.5) < 1200);
    CHECK(tasks.model.remaining(key, 4000, 0.5) > 1500);
    auto summary = tasks.model.summaries().at("q");
    CHECK(summary.tailShare == Approx(0.03).margin(0.02));
    CHECK(summary.tailFactor == Approx(7).epsilon(0.4));
}

TEST_CASE("the time left to a run follows from how long it has run", "[runtimes]")
{
    Tasks tasks { .spread = 0.05 };
    for (int n = 0; n < 200; n++)
        tasks.model.add({ "q", 0, 1000 }, tasks.draw().second);
    RunTimeKey key { "q", 0, 1000 };
    CHECK(tasks.model.remaining(key, 0, 0.5) == Approx(1000).epsilon(0.1));
    CHECK(tasks.model.remaining(key, 800, 0.5) == Approx(200).epsilon(0.4));
    // Beyond all that is known, half of the runs take as long again.
    CHECK(tasks.model.remaining(key, 20000, 0.5) == Approx(20000).epsilon(0.01));
    CHECK(tasks.model.remaining(key, 800, 0.9) > tasks.model.remaining(key, 800, 0.5));
}

TEST_CASE("few runs change an estimate little, and one long run hardly", "[runtimes]")
{
    RunTimeModel model;
    model.add({ "q", 0, 1000 }, 7000);
    CHECK(model.mean({ "q", 0, 1000 }) < 2600);
    Tasks tasks { .spread = 0.3 };
    tasks.teach(40);
    auto before = tasks.meanOf(1000);
    tasks.model.add({ "q", 0, 1000 }, 60000);
    CHECK(tasks.meanOf(1000) < 2.2 * before);
    CHECK(tasks.model.quantile({ "q", 0, 1000 }, 0.5) < 1.1 * before);
}

TEST_CASE("a change of the work is followed", "[runtimes]")
{
    Tasks tasks { .spread = 0.3, .error = 0.9 };
    tasks.teach(600);
    tasks.meanMs = 4000;
    tasks.teach(600);
    CHECK(tasks.meanOf(2000) == Approx(4000).epsilon(0.25));
}

TEST_CASE("estimates stay within what was measured while old runs lose weight", "[runtimes]")
{
    Tasks tasks { .spread = 0.4, .error = 0.9, .tailShare = 0.008 };
    double highest = 0;
    for (int n = 0; n < 6000; n++) {
        auto [declared, actual] = tasks.draw();
        tasks.model.add({ "q", static_cast<uint32_t>(n % 11 == 0 ? 1 : 0), declared }, actual);
        for (uint32_t step = 0; step < 2; step++)
            highest = std::max(highest, tasks.model.mean({ "q", step, 1000 }));
    }
    CHECK(highest < 5000);
    CHECK(tasks.model.summaries().at("q").declaredError == Approx(0.9).epsilon(0.25));
}

TEST_CASE("steps of a queue are told apart, and a new step follows the queue", "[runtimes]")
{
    RunTimeModel model;
    for (int n = 0; n < 100; n++) {
        model.add({ "q", 0, 1000 }, 500);
        model.add({ "q", 1, 1000 }, 2000);
    }
    CHECK(model.mean({ "q", 0, 1000 }) == Approx(500).epsilon(0.25));
    CHECK(model.mean({ "q", 1, 1000 }) == Approx(2000).epsilon(0.25));
    auto other = model.mean({ "q", 5, 1000 });
    CHECK(other > 700);
    CHECK(other < 1800);
    CHECK(model.mean({ "unknown", 0, 1000 }) == Approx(1000).epsilon(0.01));
}

TEST_CASE("tasks of a step that are alike tell the time of the others, however wrong the declaration", "[runtimes]")
{
    RunTimeModel model;
    std::mt19937 random { 3 };
    std::normal_distribution<double> work { 0, 0.6 };
    std::normal_distribution<double> within { 0, 0.15 };
    std::normal_distribution<double> error { 0, 0.9 };
    for (int job = 0; job < 60; job++) {
        RunTimeKey key { "q", 0, 0 };
        auto mean = 1000 * std::exp(work(random));
        key.declaredMs = mean * std::exp(error(random));
        double sum = 0;
        for (; key.siblings < 6; key.siblings++) {
            auto actual = mean * std::exp(within(random));
            key.siblingMs = key.siblings > 0 ? sum / key.siblings : 0;
            model.add(key, actual);
            sum += actual;
        }
    }
    RunTimeKey first { "q", 0, 800 };
    RunTimeKey next { "q", 0, 800, 4, 3000 };
    CHECK(model.mean(first) < 1600);
    CHECK(model.mean(next) == Approx(3000).epsilon(0.1));
    CHECK(model.remaining(next, 2000, 0.5) == Approx(1000).epsilon(0.25));
    CHECK(model.longest(first, 8) / model.longest(first, 1) == Approx(1.22).epsilon(0.15));
}

TEST_CASE("the number of queues and steps of the model is bounded, and a removed queue is forgotten", "[runtimes]")
{
    RunTimeModel model;
    for (int n = 0; n < 3000; n++)
        model.add({ "q" + std::to_string(n), static_cast<uint32_t>(n), 1000 }, 500);
    CHECK(model.sums().size() <= 1000);
    CHECK(std::all_of(model.sums().begin(), model.sums().end(), [](const auto& it) { return it.second.steps.size() <= 8; }));
    model.retainQueues([](const std::string& name) { return name == "q7"; });
    CHECK(model.sums().size() == 1);
}

TEST_CASE("the weight of old runs is halved without a change of the spread", "[runtimes]")
{
    Tasks tasks { .spread = 0.4, .error = 0.9, .tailShare = 0.03 };
    tasks.teach(200);
    for (int n = 0; n < 2000; n++) {
        tasks.teach(1);
        INFO("run " << n);
        REQUIRE(tasks.model.summaries().at("q").spread > 0.25);
    }
}
