"""Outlier ejection."""

from lichencleat.failover.outlier_ejection import BASE_EJECTION_US, OutlierEjector


def test_ejector_ejects_a_failing_node_longer_each_time_and_never_too_many():
    ejector = OutlierEjector()
    ejector.set_nodes([f"n{number}" for number in range(6)])
    for name in ("n0", "n1", "n2"):
        for _ in range(5):
            ejector.record_outcome(0, name, False)
    assert ejector.eligible(0) == ["n2", "n3", "n4", "n5"]  # at most a third of six nodes is ejected
    assert "n0" in ejector.eligible(BASE_EJECTION_US)
    for _ in range(5):
        ejector.record_outcome(BASE_EJECTION_US, "n0", False)
    assert "n0" not in ejector.eligible(2 * BASE_EJECTION_US) and "n0" in ejector.eligible(
        3 * BASE_EJECTION_US
    )
    ejector.record_outcome(0, "n9", False)
    ejector.set_nodes(["n1"])
    assert list(ejector.nodes) == ["n1"]
