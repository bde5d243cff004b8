#include "ibis/cost/cost_table.hpp"

#include <catch2/catch.hpp>  // for TEST_CASE, CHECK, REQUIRE
#include <random>            // for mt19937_64

namespace ibis::cost {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr base::time_point start_time{std::chrono::hours(1)};
const class_key cheap{"cheap", 0, ""};
const class_key costly{"costly", 0, ""};

request_class id_of(const class_key& key) {
  return classify(key.route, 0, key.account);
}

void add_times(cost_table& table, const class_key& key, base::duration taken, int count,
               base::time_point now = start_time) {
  for (int i = 0; i < count; ++i) {
    table.add(key, taken, now);
  }
}

double mean_ms(const cost_table& table, const class_key& key,
               base::time_point now = start_time) {
  const auto found = table.find(id_of(key), now);
  return found ? base::to_ms(found->mean) : 0;
}

}  // namespace

// Guards against one mean for routes of 20 ms and of 6.7 ms at the same leafs, whose
// speed changes by a factor of up to 2.5.
TEST_CASE("Classes keep their costs apart at leafs of varying speed") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> speed(1.0 / 2.5, 2.5);
    cost_table table;
    for (int i = 0; i < 400; ++i) {
      const auto taken = [&](double ms) {
        return base::microseconds(static_cast<int>(ms * 1000 * speed(random)));
      };
      table.add(cheap, taken(6.7), start_time);
      table.add(costly, taken(20), start_time);
    }
    const double ratio = mean_ms(table, costly) / mean_ms(table, cheap);
    CHECK(ratio > 2.0);
    CHECK(ratio < 4.5);
    CHECK(table.trust() == 1.0);
    CHECK(base::to_ms(table.find(id_of(costly), start_time)->spread) > 5);
  }
}

// Guards against a leaf's pause of 250 ms that is taken for the cost of a cheap
// request.
TEST_CASE("A pause changes a class's mean little, also as its first sample") {
  cost_table table;
  table.add(cheap, milliseconds(250), start_time);
  add_times(table, cheap, milliseconds(7), 20);
  CHECK(mean_ms(table, cheap) == Approx(7).margin(0.1));
  table.add(cheap, milliseconds(250), start_time);
  CHECK(mean_ms(table, cheap) < 9);
  table.add(cheap, std::chrono::hours(5), start_time);
  CHECK(mean_ms(table, cheap) < 11);
  table.add(cheap, milliseconds(-5), start_time);
  CHECK(mean_ms(table, cheap) > 5);
}

// Guards against decisions that rely on one or two requests of a new route.
TEST_CASE("A class is unknown until it has some samples") {
  cost_table table;
  add_times(table, cheap, milliseconds(7), 7);
  CHECK_FALSE(table.find(id_of(cheap), start_time));
  CHECK_FALSE(table.residual(id_of(cheap), milliseconds(1), start_time));
  add_times(table, cheap, milliseconds(7), 1);
  CHECK(table.find(id_of(cheap), start_time));
  CHECK_FALSE(table.find({}, start_time));
}

// Guards against a new release of a leaf whose requests cost other times than before.
TEST_CASE("A class follows a change, faster after a break, and is forgotten") {
  cost_table table;
  add_times(table, cheap, milliseconds(7), 200);
  cost_table steady = table;
  add_times(steady, cheap, milliseconds(14), 10, start_time + seconds(1));
  add_times(table, cheap, milliseconds(14), 10, start_time + minutes(5));
  CHECK(mean_ms(table, cheap, start_time + minutes(5)) >
        mean_ms(steady, cheap, start_time + seconds(1)));
  CHECK(mean_ms(table, cheap, start_time + minutes(5)) > 11);
  CHECK_FALSE(table.find(id_of(cheap), start_time + minutes(16)));
  table.add(cheap, milliseconds(90), start_time + minutes(20));
  CHECK_FALSE(table.find(id_of(cheap), start_time + minutes(20)));
}

// Guards against a client that sends many sizes or account names: memory must be
// bounded, and the classes in use must stay.
TEST_CASE("A full table drops the class that was updated least recently") {
  table_settings settings;
  settings.max_classes = 20;
  cost_table table(settings);
  for (int i = 0; i < 1000; ++i) {
    const base::time_point now = start_time + milliseconds(i);
    table.add(cheap, milliseconds(7), now);
    table.add({"cheap", 0, "account-" + std::to_string(i)}, milliseconds(7), now);
  }
  CHECK(table.classes().size() <= 20);
  CHECK(mean_ms(table, cheap, start_time + seconds(1)) == Approx(7).margin(0.1));
}

// Guards against an account whose requests are far more expensive than others' of the
// same route.
TEST_CASE("An account has a class of its own where it differs") {
  cost_table table;
  for (int i = 0; i < 40; ++i) {
    table.add({"cheap", 0, "small"}, milliseconds(5), start_time);
    table.add({"cheap", 0, "usual"}, milliseconds(6), start_time);
    if (i % 4 == 0) {
      table.add({"cheap", 0, "heavy"}, milliseconds(30), start_time);
    }
  }
  CHECK(mean_ms(table, {"cheap", 0, "heavy"}) > 20);
  CHECK(mean_ms(table, {"cheap", 0, "unknown"}) == mean_ms(table, cheap));
}

// Guards against an estimate of a request in flight that ignores its age.
TEST_CASE("The residual time falls with age and grows if a request is overdue") {
  cost_table table;
  add_times(table, costly, milliseconds(20), 100);
  const auto residual_ms = [&](int age) {
    return base::to_ms(*table.residual(id_of(costly), milliseconds(age), start_time));
  };
  CHECK(residual_ms(0) == Approx(20).margin(0.1));
  CHECK(residual_ms(5) < residual_ms(0));
  CHECK(residual_ms(15) < residual_ms(5));
  CHECK(residual_ms(100) > residual_ms(30));
  CHECK(residual_ms(100000) <= 80.1);
}

// Guards against a table whose classes are wrong by a factor of ten, in the wrong
// order: it must lose its influence, or be right again, within the next few requests.
TEST_CASE("A table that is wrong by ten is soon right again") {
  cost_table table;
  for (int i = 0; i < 200; ++i) {
    table.add(cheap, milliseconds(70), start_time);
    table.add(costly, milliseconds(2), start_time);
  }
  CHECK(table.trust() == 1.0);
  int needed = 0;
  while (table.trust() > 0 && mean_ms(table, cheap) > mean_ms(table, costly) &&
         needed < 1000) {
    table.add(needed % 2 == 0 ? cheap : costly, milliseconds(needed % 2 == 0 ? 7 : 20),
              start_time);
    ++needed;
  }
  CHECK(needed < 40);
  for (int i = 0; i < 400; ++i) {
    table.add(cheap, milliseconds(7), start_time);
    table.add(costly, milliseconds(20), start_time);
  }
  CHECK(table.trust() == 1.0);
  CHECK(mean_ms(table, cheap) == Approx(7).margin(0.1));
  CHECK(mean_ms(table, costly) == Approx(20).margin(0.1));
}

// Guards against decisions by classes that tell nothing: the times of their requests
// differ by ten, but not with the class.
TEST_CASE("Classes that predict no better than their mean are not trusted") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    cost_table table;
    double trust = 0;
    constexpr int rounds = 2000;
    for (int i = 0; i < rounds; ++i) {
      table.add(random() % 2 == 0 ? cheap : costly,
                milliseconds(random() % 2 == 0 ? 7 : 70), start_time);
      trust += table.trust() / rounds;
    }
    CHECK(trust < 0.25);
  }
}

TEST_CASE("Size buckets grow by a factor of four and are bounded") {
  CHECK(size_bucket_of(0) == 0);
  CHECK(size_bucket_of(511) == 0);
  CHECK(size_bucket_of(512) == 1);
  CHECK(size_bucket_of(2048) == 2);
  CHECK(size_bucket_of(std::size_t{1} << 40U) == 4);
}

}  // namespace ibis::cost
