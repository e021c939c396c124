#include "core/routing/output_estimator.hpp"

#include <CppUTest/TestHarness.h>

using namespace fuchsiaquay;

TEST_GROUP(output_estimator) {
    output_estimator estimator_;
};

TEST(output_estimator, customers_have_separate_estimates) {
    for (int i = 0; i < 200; ++i) {
        estimator_.observe(customer_id("brief"), model_id("m"), 40);
    }
    CHECK_TRUE(estimator_.estimate(customer_id("brief"), model_id("m"), 1000) < 50);
    LONGS_EQUAL(256, estimator_.estimate(customer_id("other"), model_id("m"), 1000));
    LONGS_EQUAL(100, estimator_.estimate(customer_id("other"), model_id("m"), 100));
}
