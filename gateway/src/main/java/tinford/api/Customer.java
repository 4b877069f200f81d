package tinford.api;

/**
 * Whose quota a req draws on. Its reqs come through {@code width} gateways in a row from number
 * {@code first}.
 */
public final class Customer {
    public final long id;
    public final Plan plan;
    public final int width;
    public final int first;

    public Customer(long id, Plan plan, int width, int first) {
        this.id = id;
        this.plan = plan;
        this.width = width;
        this.first = first;
    }
}
