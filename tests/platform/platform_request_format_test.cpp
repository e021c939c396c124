#include "platform/platform_request_format.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

#include "servers/relay/upstream_request_metadata.hpp"

using namespace fuchsiaquay;
using std::chrono::milliseconds;

TEST_GROUP(platform_request_format) {
    platform_request_format format_;

    caller_request read(header_list headers) const {
        headers.push_back({"Host", "h.example"});
        return format_.read_request("POST", "/a/b?c=d", std::move(headers));
    }
    std::string write(const caller_request& request) const {
        upstream_request_metadata metadata;
        metadata.upstream = "i-1";
        metadata.customer = "kim";
        metadata.time_left = milliseconds(1'234);
        return format_.write_request(request, metadata);
    }
    static bool has(const std::string& text, const std::string& line) {
        return text.find("\r\n" + line + "\r\n") != std::string::npos;
    }
};

TEST(platform_request_format, request_keeps_method_path_and_end_to_end_headers) {
    const std::string text = write(read({{"X-Attempt-Id", "42"},
                                         {"X-Custom", "kept  as is"},
                                         {"X-Model", "m"},
                                         {"X-Token-Counts", "100,20"},
                                         {"Connection", "keep-alive"}}));
    CHECK_TRUE(text.compare(0, 21, "POST /a/b?c=d HTTP/1.") == 0);
    CHECK_TRUE(has(text, "X-Attempt-Id: 42"));
    CHECK_TRUE(has(text, "X-Custom: kept  as is"));
    CHECK_TRUE(has(text, "X-Token-Counts: 100,20"));
    CHECK_TRUE(has(text, "X-Deadline-Ms: 1234"));
    CHECK_TRUE(has(text, "X-Expect-Instance: i-1"));
    CHECK_TRUE(text.find("Connection") == std::string::npos);
}

TEST(platform_request_format, api_key_is_not_forwarded_and_caller_cannot_set_the_customer) {
    const caller_request request = read({{"Authorization", "Token secret"},
                                         {"x-tenant", "somebody"},
                                         {"X-Helpers", "10.0.0.1:80"},
                                         {"X-Expect-Instance", "i-9"},
                                         {"X-Request-Urgency", "0"}});
    CHECK_EQUAL(std::string("secret"), request.api_key);
    const std::string text = write(request);
    CHECK_TRUE(text.find("secret") == std::string::npos);
    CHECK_TRUE(text.find("somebody") == std::string::npos);
    CHECK_TRUE(text.find("10.0.0.1") == std::string::npos);
    CHECK_TRUE(text.find("i-9") == std::string::npos);
    CHECK_TRUE(has(text, "X-Tenant: kim"));
}

TEST(platform_request_format, headers_listed_in_the_connection_header_are_not_forwarded) {
    const std::string text =
        write(read({{"Connection", "close, X-Hop"}, {"X-Hop", "1"}, {"X-End", "2"}}));
    CHECK_TRUE(text.find("X-Hop") == std::string::npos);
    CHECK_TRUE(has(text, "X-End: 2"));
}

TEST(platform_request_format, malformed_token_counts_and_deadlines_are_ignored) {
    for (const char* counts : {"", "12", "a,b", "12,", "-1,5", "99999999999999999999,1"}) {
        CHECK_FALSE(read({{"X-Token-Counts", counts}}).prompt_tokens.has_value());
    }
    CHECK_FALSE(read({{"X-Deadline-Ms", "soon"}}).time_limit.has_value());
    const caller_request valid = read({{"X-Token-Counts", "1460,80"}, {"X-Deadline-Ms", "900"}});
    LONGS_EQUAL(1'460, *valid.prompt_tokens);
    LONGS_EQUAL(80, valid.max_answer_tokens);
    CHECK_TRUE(*valid.time_limit == milliseconds(900));
}

TEST(platform_request_format, prompt_parts_are_read_without_the_last_one) {
    const caller_request valid = read({{"X-Prompt-Prefix", "5c1e:800, 91bd:410,e440:250"}});
    LONGS_EQUAL(2, valid.prompt_parts.size());
    CHECK_EQUAL(std::string("5c1e"), valid.prompt_parts[0]);
    CHECK_EQUAL(std::string("91bd"), valid.prompt_parts[1]);
    LONGS_EQUAL(0, read({{"X-Prompt-Prefix", "5c1e:800"}}).prompt_parts.size());
    LONGS_EQUAL(0, read({{"X-Prompt-Prefix", ",:,"}}).prompt_parts.size());
    LONGS_EQUAL(0, read({}).prompt_parts.size());
}

TEST(platform_request_format, limit_is_the_smallest_decimal_number_that_is_named) {
    const auto read_limit = [this](const header_list& headers) {
        response_head head;
        head.status = 200;
        head.headers = headers;
        return format_.read_response(head);
    };
    CHECK_TRUE(read_limit({{"Server-Limit", "1.6"}}).rate_limit == std::optional<double>(1.6));
    CHECK_TRUE(read_limit({{"Server-Limit", "0"}}).rate_limit == std::optional<double>(0.0));
    CHECK_TRUE(read_limit({{"Server-Limit", "5"}, {"server-limit", "2"}}).rate_limit ==
               std::optional<double>(2.0));
    for (const char* malformed : {"", "abc", "-1", "nan", "inf", "1e3", "1.6.1", ".", "0x10", "1,5",
                                  "999999999999999999999999999999999999"}) {
        const upstream_response response = read_limit({{"Server-Limit", malformed}});
        CHECK_FALSE(response.rate_limit.has_value());
        CHECK_TRUE(response.rate_limit_malformed);
    }
    CHECK_FALSE(read_limit({}).rate_limit_malformed);
}

TEST(platform_request_format, not_executed_requires_its_header_and_misdirected_requires_421) {
    response_head busy;
    busy.status = 503;
    CHECK_FALSE(format_.read_response(busy).not_executed);
    busy.headers.push_back({"x-not-executed", "1"});
    CHECK_TRUE(format_.read_response(busy).not_executed);
    response_head failed = busy;
    failed.status = 500;
    CHECK_FALSE(format_.read_response(failed).not_executed);
    response_head misdirected;
    misdirected.status = 421;
    CHECK_TRUE(format_.read_response(misdirected).misdirected);
}

// Guards against a status that promises "not run" although the upstream did not say so.
TEST(platform_request_format, statuses_that_promise_not_run_are_recognized) {
    for (const int status : {200, 400, 404, 408, 421, 429, 500, 502, 503, 504}) {
        response_head head;
        head.status = status;
        const bool promise = status == 408 || status == 421 || status == 429 || status == 503;
        CHECK_EQUAL(promise, format_.read_response(head).status_promises_not_run);
    }
}

// Guards against a refusal without an id that counts as the answer to whatever request comes next.
TEST(platform_request_format, only_status_400_may_omit_the_id) {
    for (const int status : {200, 421, 429, 500, 503}) {
        response_head head;
        head.status = status;
        CHECK_TRUE(format_.read_response(head).reports_request);
    }
    response_head malformed;
    malformed.status = 400;
    CHECK_FALSE(format_.read_response(malformed).reports_request);
}

TEST(platform_request_format, shutdown_header_is_read_from_any_response) {
    for (const int status : {200, 404, 500, 503}) {
        response_head head;
        head.status = status;
        CHECK_FALSE(format_.read_response(head).leaving);
        head.headers.push_back({"server-leaving", "1"});
        const upstream_response answer = format_.read_response(head);
        CHECK_TRUE(answer.leaving);
        CHECK_TRUE(find_header(answer.head.headers, "Server-Leaving") != nullptr);
    }
}

TEST(platform_request_format, retry_after_is_bounded_and_malformed_values_are_ignored) {
    const auto pause = [this](int status, const char* value) {
        response_head head;
        head.status = status;
        head.headers.push_back({"Retry-After", value});
        return to_milliseconds(format_.read_response(head).pause);
    };
    LONGS_EQUAL(1'500, pause(503, "1.5"));
    LONGS_EQUAL(2'000, pause(503, "2"));
    LONGS_EQUAL(600'000, pause(503, "1e30"));
    for (const char* malformed :
         {"", "0", "-3", "soon", "nan", "inf", "3 s", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        LONGS_EQUAL(0, pause(503, malformed));
    }
    LONGS_EQUAL(0, pause(200, "5"));
}

TEST(platform_request_format, error_response_states_retry_after_in_seconds) {
    const response_head head = format_.make_error_response(503, milliseconds(600), "42");
    CHECK_EQUAL(std::string("0.60"), *find_header(head.headers, "Retry-After"));
    CHECK_TRUE(find_header(format_.make_error_response(404, {}, "").headers, "Retry-After") ==
               nullptr);
}

TEST(platform_request_format, helpers_are_listed_with_their_reservations) {
    upstream_request_metadata metadata;
    metadata.helpers = {{{"10.0.0.1", 80}, "t1"}, {{"10.0.0.2", 81}, ""}};
    const std::string text = format_.write_request(read({}), metadata);
    CHECK_TRUE(has(text, "X-Helpers: 10.0.0.1:80/t1,10.0.0.2:81"));
}

// Guards against a deadline that overflows into the past, and sums of tokens that overflow.
TEST(platform_request_format, numbers_near_the_limit_of_64_bits_are_limited) {
    const caller_request request =
        read({{"X-Deadline-Ms", "9223372036854775807"},
              {"X-Token-Counts", "9223372036854775807,9223372036854775807"}});
    CHECK_TRUE(*request.time_limit == max_duration);
    CHECK_TRUE(*request.prompt_tokens + request.max_answer_tokens > *request.prompt_tokens);
    CHECK_FALSE(read({{"X-Deadline-Ms", "9223372036854775808"}}).time_limit.has_value());
    CHECK_FALSE(read({{"X-Token-Counts", "9223372036854775808,1"}}).prompt_tokens.has_value());
    CHECK_FALSE(read({{"X-Token-Counts", "-1,1"}}).prompt_tokens.has_value());
}
