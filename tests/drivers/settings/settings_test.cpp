#include "drivers/settings/settings.hpp"

#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "drivers/settings/define_setting.hpp"
#include "drivers/settings/setting_definition.hpp"
#include "drivers/settings/settings_error.hpp"

using namespace fuchsiaquay;

TEST_GROUP(settings) {
    std::string file_ = "/tmp/fuchsiaquay_settings_test." + std::to_string(getpid()) + ".ini";
    std::vector<setting_definition> definitions_ = {
        number_setting("retries", "allowance", "100", 0, 1'000, "retries", "a number"),
        seconds_setting("shutdown", "grace_s", "8", "a duration"),
        integer_setting("retries", "hosts", 16, 1, 100, "hosts", "a count")};

    void teardown() override {
        std::remove(file_.c_str());
    }

    settings load(const std::string& text) const {
        std::ofstream(file_) << text;
        return load_settings(file_, definitions_, {});
    }

    bool refused(const std::string& text) const {
        try {
            load(text);
        } catch (const settings_error&) {
            return true;
        }
        return false;
    }
};

TEST(settings, number_with_a_fraction_is_read_as_it_stands) {
    const settings values = load("[retries]\nallowance = 34.7\n[shutdown]\ngrace_s = 8.25\n");
    DOUBLES_EQUAL(34.7, values.number("retries", "allowance"), 1e-9);
    DOUBLES_EQUAL(8.25, values.number("shutdown", "grace_s"), 1e-9);
}

TEST(settings, number_that_the_file_does_not_name_has_its_default) {
    DOUBLES_EQUAL(100.0, load("[retries]\n").number("retries", "allowance"), 1e-9);
}

TEST(settings, number_that_is_none_or_out_of_range_is_refused) {
    for (const char* value : {"", "many", "3.4x", "-0.5", "1000.5", "nan", "inf", "1e999"}) {
        CHECK_TRUE(refused(std::string("[retries]\nallowance = ") + value + "\n"));
    }
}

TEST(settings, integer_with_a_fraction_is_refused) {
    CHECK_TRUE(refused("[retries]\nhosts = 4.5\n"));
}
