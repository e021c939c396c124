#include "drivers/control/control_loop.hpp"

#include <CppUTest/TestHarness.h>

#include <stdexcept>
#include <string>
#include <vector>

using namespace fuchsiaquay;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(control_loop) {
    control_loop loop_;
    std::vector<std::string> errors_;

    void setup() override {
        loop_.on_error([this](const std::string& reason) { errors_.push_back(reason); });
    }
};

TEST(control_loop, exception_is_reported_and_stops_neither_the_loop_nor_other_handlers) {
    constexpr int wanted_ticks = 3;
    int ticks = 0;
    loop_.every(milliseconds(1), [this, &ticks] {
        ++ticks;
        if (ticks == wanted_ticks) {
            loop_.stop();
        }
        throw std::length_error("too long");
    });
    loop_.post([] { throw std::runtime_error("unexpected"); });
    loop_.after(seconds(5), [this] { loop_.stop(); });
    loop_.run();
    LONGS_EQUAL(wanted_ticks, ticks);
    CHECK_EQUAL(std::string("unexpected"), errors_.front());
    LONGS_EQUAL(ticks + 1, errors_.size());
}
