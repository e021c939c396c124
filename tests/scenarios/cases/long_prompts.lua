-- Prompts larger than one engine's memory share the fleet with short ones; each must be
-- answered completely or refused at once, and all memory must be freed.
start_fleet { nodes = 2, engines = 3, services = 0, engine_memory_tokens = 8000 }
local short = offer_streams { callers = 4, rank = "urgent" }
wait_for_answers(short, 10)
local long = offer_streams { callers = 2, rank = "patient", prompt_bytes_min = 36000,
                             prompt_bytes_max = 44000, max_tokens_min = 4, max_tokens_max = 8 }
wait_for_answers(long, 4, 20)
wait_for_answers(short, 60)
expect_all_holds()
