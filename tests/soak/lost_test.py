"""Tests of lost.py."""

import unittest

from lost import Ending, LossJudge


def ending(sent=99.5, ended=102.0, **other):
    values = dict(request="chat-1", host="n0", began=sent, sent=sent, ended=ended, limit=8.0,
                  how="reset", received=200, kept=False)
    return Ending(**{**values, **other})


class LossJudgement(unittest.TestCase):
    def setUp(self):
        self.judge = LossJudge()
        self.judge.term("n0", 100.0)

    def lost(self, cut, upstream_end=None, sound=True, read=()):
        run = self.judge.arrived(cut.request, "i-1", cut.sent)
        run.ended, run.sound = upstream_end or cut.ended, sound
        self.judge.connection_ended(cut)
        return len(self.judge.findings(read)[0])

    def test_answer_cut_while_host_stops_is_lost(self):
        self.assertEqual(1, self.lost(ending()))

    def test_answer_cut_after_the_grace_is_not_judged(self):
        self.assertEqual(0, self.lost(ending(sent=108.5, ended=109.1)))

    def test_answer_cut_at_another_host_is_not_judged(self):
        self.assertEqual(0, self.lost(ending(host="n1")))

    def test_answer_cut_after_reload_of_settings_is_lost(self):
        self.judge.hup("n1", 101.5)
        self.assertEqual(1, self.lost(ending(host="n1")))

    def test_answer_that_the_upstream_broke_off_is_excused(self):
        self.assertEqual(0, self.lost(ending(), sound=False))

    def test_sound_upstream_before_one_that_broke_off_is_owed(self):
        self.judge.arrived("chat-1", "i-2", 99.6).ended = 101.0
        self.assertEqual(1, self.lost(ending(), sound=False))

    def test_answer_cut_at_its_time_limit_is_excused(self):
        self.assertEqual(0, self.lost(ending(sent=98.0, ended=106.0)))

    def test_early_request_at_work_in_last_sixth_of_grace_is_excused(self):
        self.assertEqual(0, self.lost(ending(sent=102.9, ended=107.4)))

    def test_late_request_at_work_in_last_sixth_of_grace_is_lost(self):
        self.assertEqual(1, self.lost(ending(sent=103.1, ended=107.4)))

    def test_upstream_done_before_last_sixth_of_grace_does_not_excuse(self):
        self.assertEqual(1, self.lost(ending(sent=102.0, ended=107.4), upstream_end=106.0))

    def test_disturbance_of_upstream_before_request_excuses(self):
        self.judge.fault("i-1", 96.0)[2] = 97.0
        self.assertEqual(0, self.lost(ending()))

    def test_old_disturbance_does_not_excuse(self):
        self.judge.fault("i-1", 96.0)[2] = 96.4
        self.assertEqual(1, self.lost(ending()))

    def test_disturbance_elsewhere_does_not_excuse(self):
        self.judge.fault("i-2", 100.0)[2] = 101.0
        self.assertEqual(1, self.lost(ending()))

    def test_request_that_was_read_and_not_passed_on_is_lost(self):
        self.judge.connection_ended(ending(received=0))
        self.assertEqual(1, len(self.judge.findings({"chat-1"})[0]))

    def test_request_that_was_not_read_is_not_lost(self):
        self.judge.connection_ended(ending(received=0))
        self.assertEqual(0, len(self.judge.findings(set())[0]))

    def test_cuts_as_frequent_outside_changes_are_not_judged_beside_them(self):
        self.judge.configurations.append(200.0)
        for at in (150.0, 201.0):
            self.judge.requests.append(("n0", at))
            self.judge.connection_ended(ending(sent=at - 1, ended=at, request=f"chat-{at}"))
            self.judge.arrived(f"chat-{at}", "i-1", at - 1)
            self.judge.endings[-1].runs = self.judge.runs[f"chat-{at}"]
        self.assertEqual(0, len(self.judge.findings(())[0]))

    def test_cuts_beside_changes_only_are_lost(self):
        self.judge.configurations.append(200.0)
        self.judge.requests += [("n0", 150.0), ("n0", 201.0)]
        self.assertEqual(1, self.lost(ending(sent=200.0, ended=201.0)))

    def test_kept_connections_without_answer_are_lost_from_the_fourth(self):
        for number in range(3):
            self.assertEqual(0, self.lost(ending(sent=200.0, ended=201.0, kept=True, received=0,
                                                 request=f"chat-{number}")))
        self.assertEqual(4, self.lost(ending(sent=200.0, ended=201.0, kept=True, received=0)))


if __name__ == "__main__":
    unittest.main()
