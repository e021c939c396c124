-- An engine is killed while it streams. Each caller must still receive its complete answer once.
start_fleet { nodes = 2, engines = 3, services = 0 }
local streams = offer_streams { callers = 10, max_tokens_min = 60, max_tokens_max = 120 }
wait_for_answers(streams, 10)
kill "engine-1"
wait_for_answers(streams, 40)
restart "engine-1"
wait_for_answers(streams, 40)
expect_all_holds()
