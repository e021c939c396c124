#include <CppUTest/TestHarness.h>

#include <string>

#include "core/error/operation_error.hpp"
#include "core/fleet/fleet_configuration.hpp"
#include "platform/directory_format.hpp"
#include "platform/platform_configuration_codec.hpp"
#include "platform/platform_upstream_codec.hpp"

using namespace fuchsiaquay;

namespace {

const char* const configuration_text = R"({
 "version": 7,
 "routes": [
  {"name":"r1","host":"f.example","prefix":"/lo/","kind":"stream","timeout_ms":10000,
   "target_latency_ms":250,"priority":1,"split":[{"service":"a","weight":90},
   {"service":"b","weight":10}],"max_attempts":2,"resume_streams":true,"target_gap_ms":200,
   "new_field":{"x":1}},
  {"name":"r2","host":"f.example","prefix":"/pu/","kind":"something_new","service":"b"}],
 "services": [{"name":"a","max_conns":434,"engine":{"slots":16,"kv_capacity_tokens":450000,
   "stride":46,"step_ms":0.925,"read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048}},
   {"name":"b","max_conns":110}],
 "limits": {"header_bytes":16384,"max_body_bytes":4194304,"idle_timeout_ms":15000},
 "tenants": [{"name":"kim","api_keys":["k1","k2"],"priority":1}]})";

}  // namespace

TEST_GROUP(platform_codecs) {
    platform_configuration_codec configurations_;
    platform_upstream_codec upstreams_;

    bool decodes(const std::string& text) const {
        try {
            upstreams_.decode("i-1", text);
            return true;
        } catch (const operation_error&) {
            return false;
        }
    }
};

TEST(platform_codecs, configuration_is_decoded_despite_unknown_fields) {
    const auto configuration = configurations_.decode(configuration_text);
    LONGS_EQUAL(7, configuration->version());
    const route* stream = configuration->find_route("f.example", "/lo/x");
    CHECK_TRUE(stream->streams() && stream->repeatable());
    LONGS_EQUAL(2, stream->services.size());
    CHECK_TRUE(configuration->find_service("a")->engine.has_value());
    CHECK_FALSE(configuration->find_service("b")->engine.has_value());
    CHECK_EQUAL(std::string("kim"), configuration->find_customer("k2")->customer);
}

TEST(platform_codecs, cold_limit_of_a_service_is_decoded) {
    const auto configuration = configurations_.decode(
        R"({"version":7,"routes":[],
            "services":[{"name":"a","cold_s":3.5,"cold_per_s":26.0},{"name":"b"}]})");
    const service_profile* service = configuration->find_service("a");
    CHECK_TRUE(service->cold_time == std::chrono::milliseconds(3'500));
    DOUBLES_EQUAL(26.0, service->cold_requests_per_s, 0.0);
    CHECK_TRUE(configuration->find_service("b")->cold_time == duration::zero());
}

TEST(platform_codecs, data_centre_and_cold_time_of_an_upstream_are_decoded) {
    const upstream_entry entry = upstreams_.decode(
        "i-1",
        R"({"service":"a","address":"10.1.2.3:80","slots":4,"state":"ready","zone":"south-a",
            "cold_ms":1200})");
    CHECK_EQUAL(std::string("south-a"), entry.data_centre);
    CHECK_TRUE(entry.cold_time == std::chrono::milliseconds(1'200));
}

TEST(platform_codecs, route_of_unknown_kind_is_not_repeatable) {
    const auto configuration = configurations_.decode(configuration_text);
    CHECK_FALSE(configuration->find_route("f.example", "/pu/")->repeatable());
}

TEST(platform_codecs, malformed_configuration_is_rejected_as_a_whole) {
    for (const char* text :
         {"", "[]", "{", "{\"routes\":[]}", "{\"version\":\"7\"}",
          R"({"version":1,"routes":[{"host":"h"}]})", R"({"version":1,"routes":7})"}) {
        CHECK_THROWS(operation_error, configurations_.decode(text));
    }
}

TEST(platform_codecs, malformed_upstream_entry_is_rejected) {
    CHECK_TRUE(decodes(R"({"service":"s","address":"10.0.0.1:80","state":"ready","slots":4})"));
    for (const char* text :
         {"", "\xff\xfe", R"({"service":"s","address":"10.0.0.1:80","state":"asleep"})",
          R"({"service":7,"address":"10.0.0.1:80","state":"ready"})",
          R"({"service":"s","address":"10.0.0.1","state":"ready"})",
          R"({"service":"s","address":"host:80","state":"ready"})",
          R"({"service":"s","address":"10.0.0.999:80","state":"ready"})",
          R"({"service":"s","address":"10.0.0.1:65536","state":"ready"})",
          R"({"service":"s","address":"10.0.0.1:-1","state":"ready"})",
          R"({"service":"s","address":8080,"state":"ready"})",
          R"({"address":"10.0.0.1:80","state":"ready"})",
          R"({"service":"s","address":"10.0.0.1:80","state":"ready","slots":0})"}) {
        CHECK_FALSE(decodes(text));
    }
}

// Guards against an entry or configuration of another writer that ends each host that reads it.
TEST(platform_codecs, deeply_nested_member_makes_an_entry_and_a_configuration_unreadable) {
    const std::string nested = std::string(200'000, '[') + std::string(200'000, ']');
    CHECK_FALSE(decodes(R"({"service":"s","address":"10.0.0.1:80","state":"ready","slots":4,"x":)" +
                        nested + "}"));
    CHECK_THROWS(operation_error, configurations_.decode(R"({"version":1,"x":)" + nested + "}"));
}

// Guards against an id that adds headers to the requests of callers.
TEST(platform_codecs, entry_whose_id_cannot_be_sent_in_a_header_is_rejected) {
    const std::string entry = R"({"service":"s","address":"10.0.0.1:80","state":"ready"})";
    for (const std::string& id :
         {std::string(), std::string("a\r\nX-Tenant: b"), std::string("a b"),
          std::string("a\0b", 3), std::string("a\x7f")}) {
        CHECK_THROWS(operation_error, upstreams_.decode(id, entry));
    }
    CHECK_EQUAL(std::string("i-\xc3\xa9"), upstreams_.decode("i-\xc3\xa9", entry).id);
}

// Guards against a number that is taken modulo 2^32, or whose conversion is undefined.
TEST(platform_codecs, entry_with_a_number_out_of_range_is_rejected) {
    for (const char* const slots :
         {"0", "-1", "2147483648", "4294967297", "1e30", "-1e300", "1e400",
          "99999999999999999999999", R"("4")", "true", "[4]", "{}"}) {
        CHECK_FALSE(decodes(R"({"service":"s","address":"10.0.0.1:80","state":"ready","slots":)" +
                            std::string(slots) + "}"));
    }
    for (const char* const born : {"1e300", "-1e300", "18446744073709551615", R"("x")"}) {
        CHECK_FALSE(
            decodes(R"({"service":"s","address":"10.0.0.1:80","state":"ready","slots":4,"born":)" +
                    std::string(born) + "}"));
    }
}

// Guards against a division by zero and times that overflow when a request is placed.
TEST(platform_codecs, configuration_with_a_number_out_of_range_is_rejected) {
    const auto with_engine = [](const std::string& member) {
        return R"({"version":1,"services":[{"name":"a","engine":{)" + member + "}}]}";
    };
    CHECK_TRUE(configurations_.decode(with_engine(R"("stride":1)")) != nullptr);
    for (const char* const member :
         {R"("stride":0)", R"("stride":-3)", R"("stride":1e300)", R"("slots":4294967297)",
          R"("kv_capacity_tokens":1e300)", R"("read_per_s":1e400)", R"("chunk":"x")"}) {
        CHECK_THROWS(operation_error, configurations_.decode(with_engine(member)));
    }
    CHECK_THROWS(operation_error,
                 configurations_.decode(R"({"version":1,"limits":{"max_body_bytes":-1}})"));
    CHECK_THROWS(operation_error, configurations_.decode(R"({"version":1e300})"));
}

TEST(platform_codecs, huge_time_of_a_route_is_limited) {
    const auto configuration =
        configurations_.decode(R"({"version":1,"routes":[{"host":"h","prefix":"/","service":"s",)"
                               R"("timeout_ms":9223372036854775807}]})");
    CHECK_TRUE(configuration->find_route("h", "/x")->timeout == max_duration);
}

TEST(platform_codecs, directory_response_lists_addresses_and_lifetime) {
    host_record host;
    host.caller_address = {"10.1.0.40", 8227};
    CHECK_EQUAL(std::string(R"({"addrs":["10.1.0.40:8227","10.1.0.40:8227"],"ttl_s":2})"),
                write_directory_response({host, host}, std::chrono::seconds(2)));
}
