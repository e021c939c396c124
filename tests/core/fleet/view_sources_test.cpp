#include "core/fleet/view_sources.hpp"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace fuchsiaquay;

/// The load: many small hosts fetch a large configuration at once.
TEST_GROUP(view_sources) {
    std::vector<host_record> hosts_;

    void add(const std::string& name, const std::string& data_centre, double processor_share) {
        host_record host;
        host.host = name;
        host.data_centre = data_centre;
        host.processor_share = processor_share;
        hosts_.push_back(host);
    }
    std::size_t count(const std::string& data_centre) const {
        return view_sources(hosts_, data_centre).size();
    }
};

TEST(view_sources, large_hosts_of_the_data_centre_are_the_sources) {
    add("a-1", "a", 0.5);
    add("a-2", "a", 0.5);
    add("a-3", "a", 0.084);
    add("b-1", "b", 1.0);
    const std::vector<host_id> sources = view_sources(hosts_, "a");
    LONGS_EQUAL(2, sources.size());
    CHECK_TRUE(sources[0] == host_id("a-1") && sources[1] == host_id("a-2"));
}

TEST(view_sources, all_hosts_are_sources_if_they_are_equal) {
    add("a-1", "a", 0.25);
    add("a-2", "a", 0.25);
    add("a-3", "a", 0.25);
    LONGS_EQUAL(3, count("a"));
    LONGS_EQUAL(0, count("b"));
}

TEST(view_sources, single_large_host_is_not_the_only_source) {
    add("a-1", "a", 0.5);
    add("a-2", "a", 0.084);
    add("a-3", "a", 0.084);
    LONGS_EQUAL(3, count("a"));
}
