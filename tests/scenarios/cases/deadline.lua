-- Requests that cannot meet their deadline run next to others that can. The former must be refused
-- or failed by their deadline and must free their memory.
start_fleet { nodes = 2, engines = 2, services = 0, decode_step_ms = 10 }
local short = offer_streams { callers = 4 }
wait_for_answers(short, 10)
local endless = offer_streams { callers = 4, calls = 4, max_tokens_min = 4000,
                                max_tokens_max = 8000 }
wait_for_answers(short, 60)
load_stop(endless)
expect_all_holds()
