"""Shows that each check of the soak fails when its rule is broken."""

import unittest

import checks


def execution(instance, key="k", token="", epoch=1, start_us=0):
    return {"instance": instance, "key": key, "token": token, "epoch": epoch, "start_us": start_us}


class ChecksTest(unittest.TestCase):
    def test_once_call_that_ran_twice(self):
        self.assertTrue(checks.run_twice([execution("a", token="t"), execution("b", token="t")]))
        self.assertFalse(checks.run_twice([execution("a", token="t"), execution("a", token="u"), execution("a")]))

    def test_refused_call_that_ran(self):
        self.assertTrue(checks.ran_although_refused([execution("a", key="k")], {"k"}))
        self.assertFalse(checks.ran_although_refused([execution("a", key="k")], {"l"}))

    def test_earlier_owner_that_serves_after_a_later_one(self):
        earlier, later = execution("a", epoch=1, start_us=20), execution("b", epoch=2, start_us=10)
        self.assertTrue(checks.owners_overlap([earlier, later]))
        self.assertFalse(checks.owners_overlap([execution("a", epoch=1, start_us=5), later]))

    def test_two_owners_with_one_epoch(self):
        self.assertTrue(checks.owners_overlap([execution("a", start_us=1), execution("b", start_us=2)]))

    def test_configuration_that_goes_back(self):
        self.assertTrue(checks.version_went_back([("a", 1, 3), ("a", 1, 2)]))
        self.assertFalse(checks.version_went_back([("a", 1, 3), ("a", 2, 2), ("a", 2, 3)]))

    def test_answer_to_another_request(self):
        self.assertTrue(checks.wrong_answer("k", "r", b"id: r.1\nkey: other\n"))
        self.assertTrue(checks.wrong_answer("k", "r", b"id: s.1\nkey: k\n"))
        self.assertTrue(checks.wrong_answer("k", None, b"id: s.1\nkey: other\n"))
        self.assertIsNone(checks.wrong_answer("k", None, b"id: s.1\nkey: k\n"))
        self.assertIsNone(checks.wrong_answer("k", "r", b"id: r.2\nkey: k\nchecksum: 0\n"))

    def test_cold_server_with_too_many_requests(self):
        burst = [5.0, 5.2, 5.4, 5.99]
        self.assertTrue(checks.cold_overruns(burst, [(4, 8)], 3))
        self.assertFalse(checks.cold_overruns(burst, [(4, 8)], 4))
        self.assertFalse(checks.cold_overruns([5.0, 5.2, 5.4, 6.0], [(4, 8)], 3))
        self.assertFalse(checks.cold_overruns(burst, [(5.1, 8)], 3))

    def test_request_in_an_evacuated_zone(self):
        self.assertTrue(checks.late_in_zone([1, 6.5, 9], [(6, 8)]))
        self.assertFalse(checks.late_in_zone([1, 6, 9], [(6, 8)]))


if __name__ == "__main__":
    unittest.main()
